package celltest

import (
	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/keyspace"
)

// rounding is the largest error, in nanoseconds, of the conversion between
// clocks.
const rounding = trueTime(2)

// checkBeforeInstall checks that the holdings which p releases have expired, have
// no requests in flight or have exceeded the drain limit, and that no lease of a
// healthy owner has expired.
func (c *checker) checkBeforeInstall(p *process, next []cell.Holding) {
	c.checkLeaseExpiry(p)
	for _, wk := range p.work {
		old := p.holding(wk.point, c.w.now)
		if old == nil || holds(next, wk.point) || p.mayInterrupt(wk.point, c.w.now) {
			continue
		}
		c.fail(NoCutWork, "%v releases %v with a request at %x in flight", p.node, old.Grant, uint64(wk.point))
	}
}

func holds(holdings []cell.Holding, point keyspace.Point) bool {
	for i := range holdings {
		if holdings[i].Grant.Range.Contains(point) {
			return true
		}
	}
	return false
}

// checkInstalled checks the holdings of p against those of all other processes
// and against all earlier grants.
func (c *checker) checkInstalled(p *process) {
	longest := leaseDuration
	for i := range p.holdings {
		h := &p.holdings[i]
		if h.end <= c.w.now+rounding {
			continue
		}
		if h.Expires.Sub(p.now(c.w.now)) > longest {
			c.fail(InsideLease, "%v holds %v for %v, longer than a lease", p.node, h.Grant, h.Expires.Sub(p.now(c.w.now)))
		}
		if h.Grant.Owner != p.node {
			c.fail(OneHolder, "%v holds %v, which names another owner", p.node, h.Grant)
		}
		c.checkSoleHolder(p, h)
		c.checkTokenGrows(p, h)
	}
}

// checkSoleHolder checks that no other process holds a point of h. A frozen
// process holds its ranges until its leases expire on its own clock.
func (c *checker) checkSoleHolder(p *process, h *heldGrant) {
	for i := range c.w.procs {
		q := &c.w.procs[i]
		if q == p || !q.alive {
			continue
		}
		for k := range q.holdings {
			o := &q.holdings[k]
			if o.end > c.w.now+rounding && o.Grant.Range.Overlaps(h.Grant.Range) {
				c.fail(OneHolder, "%v holds %v until %d while %v holds %v until %d (true time)", p.node, h.Grant, h.end, q.node, o.Grant, o.end)
				return
			}
		}
	}
}

func (c *checker) checkTokenGrows(p *process, h *heldGrant) {
	if c.inUse.covers(&h.Grant) {
		return
	}
	if seg := c.inUse.conflict(&h.Grant); seg != nil {
		c.fail(TokensGrow, "%v holds %v after %v of %v was in use at %x", p.node, h.Grant, seg.token, seg.owner, uint64(seg.first))
		return
	}
	c.inUse.record(&h.Grant, segment{})
}

// checkDispatch checks a request that p passes to its target.
func (c *checker) checkDispatch(p *process, h *heldGrant, point keyspace.Point) {
	if !p.alive || h.end <= c.w.now-rounding {
		c.fail(InsideLease, "%v passes a request at %x to its target after the lease on %v expired", p.node, uint64(point), h.Grant)
	}
	if seg := &c.inUse.list[c.inUse.find(point)]; h.Grant.Token.Less(seg.token) {
		c.fail(TokensGrow, "%v passes on a request with token %v after token %v of %v was in use", p.node, h.Grant.Token, seg.token, seg.owner)
	}
	if c.strict() && p.leaving && c.w.now > p.leaveAt+toTrue(StopAdmittingBound) {
		c.fail(NoCutWork, "%v still admits a request at %x more than %v after it was asked to leave", p.node, uint64(point), StopAdmittingBound)
	}
}

// checkLeft checks that a process that completed its planned stop has no
// requests in flight.
func (c *checker) checkLeft(p *process) {
	p.removeFinished(c.w.now)
	for _, wk := range p.work {
		if !p.mayInterrupt(wk.point, c.w.now) {
			c.fail(NoCutWork, "%v has left with a request at %x in flight", p.node, uint64(wk.point))
			return
		}
	}
}

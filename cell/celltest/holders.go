package celltest

import (
	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/keyspace"
)

// rounding is the error of the conversion between clocks.
const rounding = trueTime(2)

// beforeInstall checks that holdings which p gives up have lapsed or have no
// work in flight, and that none of a healthy owner has lapsed.
func (c *checker) beforeInstall(p *process, next []cell.Holding) {
	c.lapses(p)
	for _, wk := range p.work {
		old := p.holding(wk.point, c.w.now)
		if old == nil || holds(next, wk.point) || p.mayCut(wk.point, c.w.now) {
			continue
		}
		c.fail(NoCutWork, "%v gives up %v with a request at %x in flight", p.node, old.Grant, uint64(wk.point))
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

// installed checks the holdings of p against all other processes and against
// all earlier grants.
func (c *checker) installed(p *process) {
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
		c.soleHolder(p, h)
		c.tokenGrows(p, h)
	}
}

// soleHolder checks that no other process holds a point of h. A frozen process
// counts until its lease ends on its own clock.
func (c *checker) soleHolder(p *process, h *heldGrant) {
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

func (c *checker) tokenGrows(p *process, h *heldGrant) {
	if c.used.covers(&h.Grant) {
		return
	}
	if seg := c.used.conflict(&h.Grant); seg != nil {
		c.fail(TokensGrow, "%v holds %v after %v of %v was in use at %x", p.node, h.Grant, seg.token, seg.owner, uint64(seg.first))
		return
	}
	c.used.raise(&h.Grant, segment{})
}

// handed checks a request that is handed to the target of p.
func (c *checker) handed(p *process, h *heldGrant, point keyspace.Point) {
	if !p.alive || h.end <= c.w.now-rounding {
		c.fail(InsideLease, "%v hands a request at %x to its target after the lease on %v", p.node, uint64(point), h.Grant)
	}
	if seg := &c.used.list[c.used.find(point)]; h.Grant.Token.Less(seg.token) {
		c.fail(TokensGrow, "%v hands over a request under %v after %v of %v was in use", p.node, h.Grant.Token, seg.token, seg.owner)
	}
	if c.strict() && p.leaving && c.w.now > p.leaveAt+toTrue(StopAdmitting) {
		c.fail(NoCutWork, "%v still takes requests at %x %v after it was asked to leave", p.node, uint64(point), StopAdmitting)
	}
}

// left checks that a process whose planned stop is complete has no work in flight.
func (c *checker) left(p *process) {
	p.forgetDone(c.w.now)
	for _, wk := range p.work {
		if !p.mayCut(wk.point, c.w.now) {
			c.fail(NoCutWork, "%v has left with a request at %x in flight", p.node, uint64(wk.point))
			return
		}
	}
}

package celltest

import (
	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
)

// maxWork is the largest number of requests in flight at one process.
const maxWork = 8

// heldGrant is a holding that is in force in the request path.
type heldGrant struct {
	cell.Holding
	end trueTime // true time at which the lease ends on the holder's clock
}

// work is a request in flight at a target.
type work struct {
	point keyspace.Point
	end   trueTime
}

// drain is a range that the machine has asked to release.
type drain struct {
	id    uint64
	rng   keyspace.Range
	limit trueTime // from then on, work may be cut off
}

// process is the driver of one instance and the request path in front of its target.
type process struct {
	slot    int
	node    ident.Node
	clk     driftClock
	machine Machine
	alive   bool
	gen     uint32
	wakeAt  trueTime // frozen until then
	stall   trueTime // freeze for this long before the next effects; 0 if not

	holdings []heldGrant
	drainID  uint64
	work     []work
	drains   []drain

	timer     uint64 // id of the timer in force
	timerAt   trueTime
	readID    uint64 // id of the read in force
	readStart clock.Time
	leaving   bool
	leaveAt   trueTime
	unready   bool
	exempt    trueTime   // its leases may lapse until then
	gapAt     clock.Time // latest time that records were found to have expired unread
	lastErr   error
}

func (p *process) now(t trueTime) clock.Time { return p.clk.read(t) }

// frozen reports whether the process does not run at t.
func (p *process) frozen(t trueTime) bool { return t < p.wakeAt }

// holding returns the unexpired holding over a point, or nil.
func (p *process) holding(point keyspace.Point, t trueTime) *heldGrant {
	for i := range p.holdings {
		h := &p.holdings[i]
		if h.Grant.Range.Contains(point) && p.now(t).Before(h.Expires) {
			return h
		}
	}
	return nil
}

// forgetDone drops requests that have ended.
func (p *process) forgetDone(t trueTime) {
	kept := p.work[:0]
	for _, wk := range p.work {
		if wk.end > t {
			kept = append(kept, wk)
		}
	}
	p.work = kept
}

// workEnd returns the time at which the last request over r ends.
func (p *process) workEnd(r keyspace.Range, t trueTime) trueTime {
	end := t
	for _, wk := range p.work {
		if r.Contains(wk.point) {
			end = max(end, wk.end)
		}
	}
	return end
}

// mayCut reports whether work over the point may be cut off at t because it
// took longer than the drain limit.
func (p *process) mayCut(point keyspace.Point, t trueTime) bool {
	for _, d := range p.drains {
		if d.rng.Contains(point) && t >= d.limit {
			return true
		}
	}
	return false
}

// refuses reports whether new requests over the point are refused because the
// range is being released.
func (p *process) refuses(point keyspace.Point) bool {
	for _, d := range p.drains {
		if d.rng.Contains(point) {
			return true
		}
	}
	return false
}

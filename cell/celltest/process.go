package celltest

import (
	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
)

// maxWork is the largest number of requests in flight at a process.
const maxWork = 8

// heldGrant is a holding in force in the request path.
type heldGrant struct {
	cell.Holding
	end trueTime // true time at which the lease expires on the holder's clock
}

// work is a request in flight at a target.
type work struct {
	point keyspace.Point
	end   trueTime
}

// drain is the release of a range that the state machine has requested.
type drain struct {
	id    uint64
	rng   keyspace.Range
	limit trueTime // time after which requests in flight may be interrupted
}

// process simulates the driver of one instance and the request path in front of
// its target.
type process struct {
	slot    int
	node    ident.Node
	clk     driftClock
	machine Machine
	alive   bool
	gen     uint32
	wakeAt  trueTime // frozen until then
	stall   trueTime // duration of a freeze before the next effects are applied; 0 if there is none

	holdings []heldGrant
	drainID  uint64
	work     []work
	drains   []drain

	timer       uint64 // id of the current timer
	timerAt     trueTime
	readID      uint64 // id of the current read
	readStart   clock.Time
	leaving     bool
	leaveAt     trueTime
	unready     bool
	exemptUntil trueTime   // leases may expire until then
	truncatedAt clock.Time // latest time at which a read found the stream truncated
	lastErr     error
}

func (p *process) now(t trueTime) clock.Time { return p.clk.read(t) }

// frozen reports whether the process is frozen at t.
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

// removeFinished drops requests that have ended.
func (p *process) removeFinished(t trueTime) {
	kept := p.work[:0]
	for _, wk := range p.work {
		if wk.end > t {
			kept = append(kept, wk)
		}
	}
	p.work = kept
}

// workEnd returns the time at which the last request in r ends, or t if there is
// none.
func (p *process) workEnd(r keyspace.Range, t trueTime) trueTime {
	end := t
	for _, wk := range p.work {
		if r.Contains(wk.point) {
			end = max(end, wk.end)
		}
	}
	return end
}

// mayInterrupt reports whether requests at point may be interrupted at t
// because the drain limit has passed.
func (p *process) mayInterrupt(point keyspace.Point, t trueTime) bool {
	for _, d := range p.drains {
		if d.rng.Contains(point) && t >= d.limit {
			return true
		}
	}
	return false
}

// releasing reports whether new requests at point are rejected because its range
// is being released.
func (p *process) releasing(point keyspace.Point) bool {
	for _, d := range p.drains {
		if d.rng.Contains(point) {
			return true
		}
	}
	return false
}

package owner

import (
	"slices"
	"sync"
	"time"

	"github.com/parsleystack/parsleystack/admission"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/outcome"
)

// gate runs the admission queue and blocks the goroutines of queued requests.
type gate struct {
	now func() clock.Time

	mu      sync.Mutex
	queue   *admission.Queue
	nextID  uint64
	tickets map[uint64]*ticket // of queued requests
}

// ticket is one request in the admission queue and the decision about it.
type ticket struct {
	id       uint64
	decided  chan struct{} // buffered; receives once when a queued request is decided
	admitted bool
	refusal  admission.Refusal
}

func newTicket() *ticket { return &ticket{decided: make(chan struct{}, 1)} }

// decidedBy reports whether effects admit or refuse the request, and records
// which.
func (t *ticket) decidedBy(effects admission.Effects) bool {
	t.admitted = slices.Contains(effects.Start, t.id)
	if t.admitted {
		return true
	}
	i := slices.IndexFunc(effects.Refuse, func(r admission.Refusal) bool { return r.ID == t.id })
	if i >= 0 {
		t.refusal = effects.Refuse[i]
	}
	return i >= 0
}

func newGate(cfg admission.Config, now func() clock.Time) *gate {
	return &gate{now: now, queue: admission.New(cfg), tickets: make(map[uint64]*ticket)}
}

// enter blocks until the request is admitted or refused, and reports whether it
// was admitted. If not, t.refusal has the reason.
func (g *gate) enter(t *ticket, item admission.Item) bool {
	if g.arrive(t, item) {
		return t.admitted
	}
	g.wait(t, item.Deadline)
	return t.admitted
}

// arrive passes the request to the queue and reports whether it was decided
// immediately.
func (g *gate) arrive(t *ticket, item admission.Item) bool {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextID++
	t.id = g.nextID
	item.ID = t.id
	effects := g.queue.Step(admission.Event{Kind: admission.Arrive, Item: item}, now)
	if t.decidedBy(effects) {
		g.applyLocked(effects)
		return true
	}
	g.tickets[t.id] = t
	g.applyLocked(effects)
	return false
}

// wait blocks until the queued request is decided. After its deadline the queue
// is stepped every millisecond until it refuses the request.
func (g *gate) wait(t *ticket, deadline clock.Time) {
	timer := time.NewTimer(deadline.Sub(g.now()))
	defer timer.Stop()
	for {
		select {
		case <-t.decided:
			return
		case <-timer.C:
			g.step(admission.Event{Kind: admission.Tick})
			timer.Reset(time.Millisecond)
		}
	}
}

// cancel removes a request from the queue after its caller has canceled it.
func (g *gate) cancel(t *ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, queued := g.tickets[t.id]; !queued {
		return
	}
	g.stepLocked(admission.Event{Kind: admission.Cancel, Item: admission.Item{ID: t.id}})
	if _, queued := g.tickets[t.id]; queued {
		g.decideLocked(t.id, false, admission.Refusal{ID: t.id, Reason: outcome.Canceled})
	}
}

// finish reports the end of an admitted request to the queue and returns the
// remaining load.
func (g *gate) finish(t *ticket, completion admission.Completion, duration time.Duration) (inFlight, capacity int) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyLocked(g.queue.Step(admission.Event{Kind: admission.Finish, Item: admission.Item{ID: t.id}, Completion: completion, Duration: duration}, now))
	return g.loadLocked()
}

// load returns the number of requests that run or are queued, and the current
// limit on running ones.
func (g *gate) load() (inFlight, capacity int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.loadLocked()
}

func (g *gate) loadLocked() (inFlight, capacity int) {
	running, waiting, limit := g.queue.Load()
	return running + waiting, limit
}

func (g *gate) step(ev admission.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stepLocked(ev)
}

func (g *gate) stepLocked(ev admission.Event) {
	g.applyLocked(g.queue.Step(ev, g.now()))
}

// applyLocked wakes the queued requests that effects admit or refuse.
func (g *gate) applyLocked(effects admission.Effects) {
	for _, id := range effects.Start {
		g.decideLocked(id, true, admission.Refusal{})
	}
	for _, r := range effects.Refuse {
		g.decideLocked(r.ID, false, r)
	}
}

func (g *gate) decideLocked(id uint64, admitted bool, refusal admission.Refusal) {
	t := g.tickets[id]
	if t == nil {
		return
	}
	delete(g.tickets, id)
	t.admitted, t.refusal = admitted, refusal
	t.decided <- struct{}{}
}

package owner

import (
	"slices"
	"sync"
	"time"

	"github.com/parsleystack/parsleystack/admission"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/outcome"
)

// gate drives the admission queue for the goroutines of requests.
type gate struct {
	now func() clock.Time

	mu      sync.Mutex
	queue   *admission.Queue
	nextID  uint64
	tickets map[uint64]*ticket // of requests that wait
}

// ticket is one request's place in the queue.
type ticket struct {
	id       uint64
	decided  chan struct{} // buffered; receives once after waiting
	admitted bool
	refusal  admission.Refusal
}

func newTicket() *ticket { return &ticket{decided: make(chan struct{}, 1)} }

// decidedBy reports whether the effects of the request's arrival decide it.
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

// enter waits until the request may run. It reports false if it was refused;
// t.refusal says why then.
func (g *gate) enter(t *ticket, item admission.Item) bool {
	if g.arrive(t, item) {
		return t.admitted
	}
	g.wait(t, item.Deadline)
	return t.admitted
}

// arrive reports whether the request was decided at once.
func (g *gate) arrive(t *ticket, item admission.Item) bool {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.nextID++
	t.id = g.nextID
	item.ID = t.id
	effects := g.queue.Step(admission.Event{Kind: admission.Arrive, Item: item}, now)
	if t.decidedBy(effects) {
		g.carryOutLocked(effects)
		return true
	}
	g.tickets[t.id] = t
	g.carryOutLocked(effects)
	return false
}

// wait blocks until the request is decided; its deadline decides at the latest.
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

// leave takes a request that nobody waits for out of the queue.
func (g *gate) leave(t *ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, waits := g.tickets[t.id]; !waits {
		return
	}
	g.stepLocked(admission.Event{Kind: admission.Cancel, Item: admission.Item{ID: t.id}})
	if _, waits := g.tickets[t.id]; waits {
		g.decideLocked(t.id, false, admission.Refusal{ID: t.id, Reason: outcome.Canceled})
	}
}

// finish ends an admitted request and returns the load that is left.
func (g *gate) finish(t *ticket, ending admission.Completion, took time.Duration) (inFlight, capacity int) {
	now := g.now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.carryOutLocked(g.queue.Step(admission.Event{Kind: admission.Finish, Item: admission.Item{ID: t.id}, Completion: ending, Duration: took}, now))
	return g.loadLocked()
}

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
	g.carryOutLocked(g.queue.Step(ev, g.now()))
}

// carryOutLocked wakes the requests that have waited and are decided now.
func (g *gate) carryOutLocked(effects admission.Effects) {
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

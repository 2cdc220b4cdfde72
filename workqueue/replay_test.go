package workqueue

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// workload is one class of requests of a simulated load.
type workload struct {
	name      string
	perSecond float64
	work      time.Duration // mean; uniformly distributed between 0.5 and 1.5 times this value
	priority  uint8
	objective time.Duration
	deadline  time.Duration
	call      bool // of runs that hold slots of other targets
	// from and until bound the arrivals after the start; all the time if until is 0.
	from, until time.Duration
	returns     bool // refused callers return once, at the stated time
}

// classCounts counts the results of the requests of one class.
type classCounts struct {
	arrived, inTime, late, refused int
	refusedTwice                   int // of the refused
}

func (t classCounts) timely() float64 { return float64(t.inTime) / float64(t.arrived) }

func (t classCounts) served() float64 { return float64(t.inTime+t.late) / float64(t.arrived) }

// replayEvent is an arrival, the end of an item at the target, or the time at which the
// rate limit lets the next item start.
type replayEvent struct {
	at       clock.Time
	kind     int
	id       uint64
	took     time.Duration
	ends     bool
	advances bool
	first    clock.Time // arrival of the refused request that returns; Never if it is the first one
}

// arrived returns when the request first arrived.
func (e *replayEvent) arrived() clock.Time {
	if e.first != clock.Never {
		return e.first
	}
	return e.at
}

type eventHeap []replayEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(replayEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulator simulates a load on one target.
type simulator struct {
	kinds     []workload
	queue     *Queue
	events    eventHeap
	items     map[uint64]replayEvent
	countFrom clock.Time // arrivals before this time are not counted
	counts    []classCounts
	starts    []clock.Time // of all items
}

// replay simulates a load for the given length. The first quarter is a warm-up
// for the estimates of the queue and is not counted.
func replay(slots int, length time.Duration, kinds ...workload) []classCounts {
	return replayOn(New(slots), length, kinds...).counts
}

// replayOn is replay on a queue. It returns the simulator after the load.
func replayOn(queue *Queue, length time.Duration, kinds ...workload) *simulator {
	rng := rand.New(rand.NewPCG(7, 9))
	start := replayStart
	p := &simulator{kinds: kinds, queue: queue, items: make(map[uint64]replayEvent), countFrom: start.Add(length / 4), counts: make([]classCounts, len(kinds))}
	for k := range kinds {
		end := start.Add(length)
		if kinds[k].until > 0 {
			end = start.Add(kinds[k].until)
		}
		for at := start.Add(kinds[k].from); at < end; {
			at = at.Add(time.Duration(rng.ExpFloat64() / kinds[k].perSecond * float64(time.Second)))
			heap.Push(&p.events, replayEvent{at: at, kind: k, took: time.Duration((0.5 + rng.Float64()) * float64(kinds[k].work))})
		}
	}
	for next := uint64(1); len(p.events) > 0; next++ {
		e := heap.Pop(&p.events).(replayEvent)
		switch {
		case e.advances:
			p.decide(e.at)(p.queue.Advance(e.at))
		case e.ends:
			p.end(e)
		default:
			p.arrive(next, e)
		}
		if wait, ok := p.queue.NextStart(e.at); ok {
			heap.Push(&p.events, replayEvent{at: e.at.Add(wait + time.Microsecond), advances: true})
		}
	}
	return p
}

// replayStart is when a simulated load begins.
const replayStart = clock.Time(time.Hour)

// decide returns a function that applies decisions of the queue.
func (p *simulator) decide(now clock.Time) func(started []uint64, refused []Refusal) {
	return func(started []uint64, refused []Refusal) {
		for _, id := range started {
			p.begin(id, now)
		}
		for _, r := range refused {
			p.refuse(r, now)
		}
	}
}

func (p *simulator) begin(id uint64, now clock.Time) {
	e := p.items[id]
	p.starts = append(p.starts, now)
	heap.Push(&p.events, replayEvent{at: now.Add(e.took), kind: e.kind, id: id, took: e.took, ends: true})
}

func (p *simulator) refuse(r Refusal, now clock.Time) {
	e := p.items[r.ID]
	k := &p.kinds[e.kind]
	left := e.arrived().Add(k.deadline).Sub(now)
	if k.returns && e.first == clock.Never {
		wait := min(r.RetryAfter, left/3) // callers wait for no more than a third of their time
		heap.Push(&p.events, replayEvent{at: now.Add(wait), kind: e.kind, took: e.took, first: e.at})
		return
	}
	if e.arrived() >= p.countFrom {
		p.counts[e.kind].refused++
		if e.first != clock.Never {
			p.counts[e.kind].refusedTwice++
		}
	}
}

func (p *simulator) end(e replayEvent) {
	item := p.items[e.id]
	if arrived := item.arrived(); arrived >= p.countFrom {
		if e.at.Sub(arrived) <= p.kinds[e.kind].objective {
			p.counts[e.kind].inTime++
		} else {
			p.counts[e.kind].late++
		}
	}
	p.decide(e.at)(p.queue.Finish(e.id, Answered, e.took, e.at))
}

func (p *simulator) arrive(id uint64, e replayEvent) {
	if e.first == clock.Never && e.at >= p.countFrom {
		p.counts[e.kind].arrived++
	}
	p.items[id] = e
	k := &p.kinds[e.kind]
	arrived := e.arrived()
	item := Item{ID: id, Class: k.name, Priority: k.priority, Arrived: e.at, Objective: e.at.Add(k.objective), Deadline: arrived.Add(k.deadline), Call: k.call}
	switch verdict, refusal := p.queue.Arrive(item, e.at); verdict {
	case Start:
		p.begin(id, e.at)
	case Refuse:
		refusal.ID = id
		p.refuse(refusal, e.at)
	}
}

// TestUrgentRequestsFindRoomBesideLongOnes guards against long requests that
// occupy the slots needed by a higher priority. The load has requests of 1.7 s
// that exceed the capacity and high-priority requests of 110 ms that need 11 of
// the 18 slots. A long request that starts while no high-priority one waits
// occupies a slot in which about 15 of them could have run.
func TestUrgentRequestsFindRoomBesideLongOnes(t *testing.T) {
	got := replay(18, 20*time.Second,
		workload{name: "feed", perSecond: 40, work: 1700 * time.Millisecond, objective: 5 * time.Second, deadline: 8 * time.Second},
		workload{name: "call", perSecond: 100, work: 110 * time.Millisecond, priority: 2, objective: 400 * time.Millisecond, deadline: 1200 * time.Millisecond})
	feed, call := got[0], got[1]
	if call.timely() < 0.9 {
		t.Errorf("%.3f of the high-priority requests meet their objective, %+v; want 0.9", call.timely(), call)
	}
	// The high-priority requests leave 7 slots, each of which runs one long request
	// in 1.7 s.
	if capacity := 7 / 1.7 / 40; feed.served() < 0.6*capacity {
		t.Errorf("%.3f of the long requests are served, %+v; the capacity left for them is %.3f", feed.served(), feed, capacity)
	}
}

// TestReservedSlotsDoNotDelayOthers checks that reserving slots for a higher priority
// does not delay other classes while the load is below the capacity.
func TestReservedSlotsDoNotDelayOthers(t *testing.T) {
	got := replay(18, 20*time.Second,
		workload{name: "feed", perSecond: 4, work: 1700 * time.Millisecond, objective: 5 * time.Second, deadline: 8 * time.Second},
		workload{name: "order", perSecond: 20, work: 300 * time.Millisecond, priority: 2, objective: 800 * time.Millisecond, deadline: 2 * time.Second})
	for i, class := range got {
		if class.timely() < 0.98 {
			t.Errorf("class %d: %.3f of the requests meet their objective, %+v; the load needs 13 of 18 slots", i, class.timely(), class)
		}
	}
}

// TestOverloadUsesAllSlots checks that three classes that together need twice
// the capacity use at least nine tenths of the slots' time.
func TestOverloadUsesAllSlots(t *testing.T) {
	const slots, length = 18, 20 * time.Second
	kinds := []workload{
		{name: "view", perSecond: 60, work: 250 * time.Millisecond, objective: 800 * time.Millisecond, deadline: 2 * time.Second},
		{name: "book", perSecond: 36, work: 330 * time.Millisecond, priority: 1, objective: time.Second, deadline: 2500 * time.Millisecond},
		{name: "pay", perSecond: 50, work: 180 * time.Millisecond, priority: 2, objective: 600 * time.Millisecond, deadline: 1200 * time.Millisecond},
	}
	done := 0.0
	for i, class := range replay(slots, length, kinds...) {
		done += float64(class.inTime+class.late) * kinds[i].work.Seconds()
	}
	if used := done / (slots * length.Seconds() * 3 / 4); used < 0.9 {
		t.Errorf("%.3f of the slots' time is used under twice the capacity, want 0.9", used)
	}
}

// A target whose slots are overbooked by its own requests refused a third of the calls of
// other targets, of the same priority. Each refused call fails the request that made it,
// with all its work at the other target. Calls have short objectives.
func TestCallsFindSlotsBesideLongRequestsOfTheirPriority(t *testing.T) {
	got := replay(6, 60*time.Second,
		workload{name: "print-order", perSecond: 22, work: 250 * time.Millisecond, priority: 1, objective: 600 * time.Millisecond, deadline: 2 * time.Second},
		workload{name: "order-price", perSecond: 60, work: 30 * time.Millisecond, priority: 1, objective: 120 * time.Millisecond, deadline: 400 * time.Millisecond})
	if calls := got[1].served(); calls < 0.9 {
		t.Errorf("%.2f of the calls are served: %+v", calls, got[1])
	}
	// The calls need 1.8 slots and leave 4.2 for the 5.5 that the long requests need.
	if orders := got[0].served(); orders < 0.76 {
		t.Errorf("%.2f of the long requests are served, 0.76 is possible beside all calls: %+v", orders, got[0])
	}
}

package workqueue

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// kind is one class of a replayed load.
type kind struct {
	name      string
	perS      float64
	work      time.Duration // mean; drawn evenly from half to one and a half
	priority  uint8
	objective time.Duration
	deadline  time.Duration
}

// tally is what became of a class.
type tally struct {
	asked, inTime, late, refused int
}

func (t tally) timely() float64 { return float64(t.inTime) / float64(t.asked) }

func (t tally) served() float64 { return float64(t.inTime+t.late) / float64(t.asked) }

// replayEvent is an arrival, or the end of an item at the target.
type replayEvent struct {
	at   clock.Time
	kind int
	id   uint64
	took time.Duration
	ends bool
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

// player replays a load at one target.
type player struct {
	kinds   []kind
	queue   *Queue
	events  eventHeap
	items   map[uint64]replayEvent
	counted clock.Time // what arrives before is not counted
	tallies []tally
}

// replay runs a load for a time; the queue learns in the first quarter, which is
// not counted.
func replay(slots int, length time.Duration, kinds ...kind) []tally {
	rng := rand.New(rand.NewPCG(7, 9))
	start := clock.Time(time.Hour)
	p := &player{kinds: kinds, queue: New(slots), items: make(map[uint64]replayEvent), counted: start.Add(length / 4), tallies: make([]tally, len(kinds))}
	for k := range kinds {
		for at := start; at < start.Add(length); {
			at = at.Add(time.Duration(rng.ExpFloat64() / kinds[k].perS * float64(time.Second)))
			heap.Push(&p.events, replayEvent{at: at, kind: k, took: time.Duration((0.5 + rng.Float64()) * float64(kinds[k].work))})
		}
	}
	for next := uint64(1); len(p.events) > 0; next++ {
		if e := heap.Pop(&p.events).(replayEvent); e.ends {
			p.end(e)
		} else {
			p.arrive(next, e)
		}
	}
	return p.tallies
}

func (p *player) begin(id uint64, now clock.Time) {
	e := p.items[id]
	heap.Push(&p.events, replayEvent{at: now.Add(e.took), kind: e.kind, id: id, took: e.took, ends: true})
}

func (p *player) refuse(id uint64) {
	if e := p.items[id]; e.at >= p.counted {
		p.tallies[e.kind].refused++
	}
}

func (p *player) end(e replayEvent) {
	if arrived := p.items[e.id].at; arrived >= p.counted {
		if e.at.Sub(arrived) <= p.kinds[e.kind].objective {
			p.tallies[e.kind].inTime++
		} else {
			p.tallies[e.kind].late++
		}
	}
	started, refused := p.queue.Finish(e.id, Answered, e.took, e.at)
	for _, id := range started {
		p.begin(id, e.at)
	}
	for _, r := range refused {
		p.refuse(r.ID)
	}
}

func (p *player) arrive(id uint64, e replayEvent) {
	if e.at >= p.counted {
		p.tallies[e.kind].asked++
	}
	p.items[id] = e
	k := &p.kinds[e.kind]
	item := Item{ID: id, Class: k.name, Priority: k.priority, Arrived: e.at, Objective: e.at.Add(k.objective), Deadline: e.at.Add(k.deadline)}
	switch verdict, _ := p.queue.Arrive(item, e.at); verdict {
	case Start:
		p.begin(id, e.at)
	case Refuse:
		p.refuse(id)
	}
}

// TestUrgentRequestsFindRoomBesideLongOnes replays the owner of busy keys:
// requests of 1.7 s for far more than its slots, and urgent ones of 110 ms that
// need 11 of the 18 slots. Each long request that takes a slot while no urgent
// one waits keeps it from the next 15.
func TestUrgentRequestsFindRoomBesideLongOnes(t *testing.T) {
	got := replay(18, 20*time.Second,
		kind{name: "feed", perS: 40, work: 1700 * time.Millisecond, objective: 5 * time.Second, deadline: 8 * time.Second},
		kind{name: "call", perS: 100, work: 110 * time.Millisecond, priority: 2, objective: 400 * time.Millisecond, deadline: 1200 * time.Millisecond})
	feed, call := got[0], got[1]
	if call.timely() < 0.9 {
		t.Errorf("%.3f of the urgent requests are in time, %+v; 0.9 wanted", call.timely(), call)
	}
	// They leave 7 slots, each of which runs one long request in 1.7 s.
	if most := 7 / 1.7 / 40; feed.served() < 0.6*most {
		t.Errorf("%.3f of the long requests are served, %+v; at most %.3f fit beside the urgent ones", feed.served(), feed, most)
	}
}

// TestKeptSlotsAreNotLeftIdle replays a load that fits: no class loses anything
// by the slots that are kept for the urgent one.
func TestKeptSlotsAreNotLeftIdle(t *testing.T) {
	got := replay(18, 20*time.Second,
		kind{name: "feed", perS: 4, work: 1700 * time.Millisecond, objective: 5 * time.Second, deadline: 8 * time.Second},
		kind{name: "order", perS: 20, work: 300 * time.Millisecond, priority: 2, objective: 800 * time.Millisecond, deadline: 2 * time.Second})
	for i, class := range got {
		if class.timely() < 0.98 {
			t.Errorf("class %d: %.3f in time, %+v; 13 of 18 slots are needed", i, class.timely(), class)
		}
	}
}

// TestOverloadUsesAllSlots replays three classes that ask for twice what the
// slots run: the work that is done fills nine tenths of them.
func TestOverloadUsesAllSlots(t *testing.T) {
	const slots, length = 18, 20 * time.Second
	kinds := []kind{
		{name: "view", perS: 60, work: 250 * time.Millisecond, objective: 800 * time.Millisecond, deadline: 2 * time.Second},
		{name: "book", perS: 36, work: 330 * time.Millisecond, priority: 1, objective: time.Second, deadline: 2500 * time.Millisecond},
		{name: "pay", perS: 50, work: 180 * time.Millisecond, priority: 2, objective: 600 * time.Millisecond, deadline: 1200 * time.Millisecond},
	}
	done := 0.0
	for i, class := range replay(slots, length, kinds...) {
		done += float64(class.inTime+class.late) * kinds[i].work.Seconds()
	}
	if used := done / (slots * length.Seconds() * 3 / 4); used < 0.9 {
		t.Errorf("%.3f of the slots' time is used under twice their load, 0.9 wanted", used)
	}
}

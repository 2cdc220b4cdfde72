package workqueue

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/loadstate"
)

// spellReplay is a load on the one target that may run its keys. Work that begins in one of the
// target's slow spells takes three times as long.
type spellReplay struct {
	states  bool // the target states its load
	queue   *Queue
	slow    []bool // by period of spellPeriod
	events  eventHeap
	items   map[uint64]*Item
	inTime  int
	served  int
	arrived int
	took    map[uint64]time.Duration
	random  *rand.Rand
}

const (
	spellPeriod = 400 * time.Millisecond
	spellWork   = 190 * time.Millisecond
	spellLength = 120 * time.Second
)

func (r *spellReplay) slownessAt(at clock.Time) float64 {
	if i := int(at.Sub(replayStart) / spellPeriod); i < len(r.slow) && r.slow[i] {
		return 3
	}
	return 1
}

func (r *spellReplay) run(perSecond float64) {
	r.queue, r.items, r.took = New(12), make(map[uint64]*Item), make(map[uint64]time.Duration)
	r.random = rand.New(rand.NewPCG(7, 11))
	for range int(spellLength/spellPeriod) + 1 {
		r.slow = append(r.slow, r.random.IntN(5) == 0)
	}
	for at := replayStart; at < replayStart.Add(spellLength); {
		at = at.Add(time.Duration(r.random.ExpFloat64() / perSecond * float64(time.Second)))
		r.arrived++
		item := &Item{ID: uint64(r.arrived), Class: "view", Arrived: at, Objective: at.Add(500 * time.Millisecond), Deadline: at.Add(time.Second)}
		r.items[item.ID] = item
		heap.Push(&r.events, replayEvent{at: at, id: item.ID})
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(replayEvent)
		var started []uint64
		switch {
		case e.ends:
			item := r.items[e.id]
			r.served++
			if e.at.Sub(item.Objective) <= 0 {
				r.inTime++
			}
			if r.states {
				r.queue.ObserveLoad(loadstate.Figures{Slots: 12, Slowness: r.slownessAt(e.at)}, e.at)
			}
			started, _ = r.queue.Finish(e.id, Answered, r.took[e.id], e.at)
		case e.id == 0:
			started, _ = r.queue.Advance(e.at)
		default:
			if verdict, _ := r.queue.Arrive(*r.items[e.id], e.at); verdict == Start {
				started = []uint64{e.id}
			}
		}
		for _, id := range started {
			r.took[id] = scale(spellWork, r.slownessAt(e.at)*(0.7+0.6*r.random.Float64()))
			heap.Push(&r.events, replayEvent{at: e.at.Add(r.took[id]), id: id, ends: true})
		}
		if wait, ok := r.queue.NextStart(e.at); ok {
			heap.Push(&r.events, replayEvent{at: e.at.Add(max(wait, time.Millisecond))})
		}
	}
}

// The owner of a key began requests while its machine was slow for some hundred milliseconds.
// They took three times as long to their end, although the slow spell had ended by then, and
// held the slots of later ones.
func TestKeysWaitForTheEndOfASlowSpell(t *testing.T) {
	for _, perSecond := range []float64{15, 30, 45} { // of about 45 that the target can run
		with, without := &spellReplay{states: true}, &spellReplay{}
		with.run(perSecond)
		without.run(perSecond)
		t.Logf("%.0f a second: %d of %d in time with the statement, %d without; served %d and %d", perSecond, with.inTime, with.arrived, without.inTime, with.served, without.served)
		if gain := float64(with.inTime-without.inTime) / float64(with.arrived); gain < 0.015 {
			t.Errorf("%.0f a second: %d of %d requests end in time with the statement, %d without", perSecond, with.inTime, with.arrived, without.inTime)
		}
		if with.served < without.served*199/200 {
			t.Errorf("%.0f a second: %d requests are served with the statement, %d without", perSecond, with.served, without.served)
		}
	}
}

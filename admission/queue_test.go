package admission

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/outcome"
)

func arrive(id uint64, flow Flow, priority uint8, deadline clock.Time) Event {
	return Event{Kind: Arrive, Item: Item{ID: id, Flow: flow, Priority: priority, Deadline: deadline}}
}

func finish(id uint64, completion Completion, duration time.Duration) Event {
	return Event{Kind: Finish, Item: Item{ID: id}, Completion: completion, Duration: duration}
}

// TestInvariants applies random events to a queue: neither the slots nor the
// queue limit is ever exceeded, and each request is started or refused exactly
// once.
func TestInvariants(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("slots, queue and decisions", prop.ForAll(func(raw []uint32) bool {
		q := New(Config{Slots: 4, QueueLimit: 5, MaxWait: time.Hour})
		pending, running := make(map[uint64]bool), make(map[uint64]bool)
		now := clock.Time(1)
		for i, x := range raw {
			now = now.Add(time.Duration(x%7) * time.Millisecond)
			ev := randomEvent(uint64(i), x, now, pending, running)
			if ev.Kind == Arrive {
				pending[ev.Item.ID] = true
			}
			delete(running, ev.Item.ID)
			effects := q.Step(ev, now)
			if ev.Kind == Cancel {
				delete(pending, ev.Item.ID)
			}
			for _, id := range effects.Start {
				if !pending[id] {
					return false
				}
				delete(pending, id)
				running[id] = true
			}
			for _, r := range effects.Refuse {
				if !pending[r.ID] {
					return false
				}
				delete(pending, r.ID)
			}
			n, waiting, _ := q.Load()
			if n != len(running) || n > 4 || waiting != len(pending) || waiting > 5 {
				return false
			}
		}
		return true
	}, gen.SliceOfN(200, gen.UInt32())))
	properties.TestingRun(t)
}

func randomEvent(id uint64, x uint32, now clock.Time, pending, running map[uint64]bool) Event {
	switch x >> 8 % 4 {
	case 0:
		for id := range running {
			return finish(id, Completion(1+x%4), time.Duration(x%50)*time.Millisecond)
		}
	case 1:
		if x%5 == 0 {
			for id := range pending {
				return Event{Kind: Cancel, Item: Item{ID: id}}
			}
		}
	}
	return arrive(id, Flow(x>>12%3), uint8(x>>16%3), now.Add(time.Duration(x>>20%64)*time.Millisecond))
}

// newFullQueue returns a queue with one slot, which is occupied.
func newFullQueue(limit int) *Queue {
	q := New(Config{Slots: 1, QueueLimit: limit})
	q.Step(arrive(1, 1, 1, never), 0)
	return q
}

const never = clock.Time(time.Hour)

func TestLowPriorityIsEvicted(t *testing.T) {
	q := newFullQueue(2)
	q.Step(arrive(2, 2, 1, never), 0)
	q.Step(arrive(3, 3, 2, never), 0)
	effects := q.Step(arrive(4, 4, 2, never), 0)
	if len(effects.Refuse) != 1 || effects.Refuse[0].ID != 2 || effects.Refuse[0].RetryAfter == 0 {
		t.Errorf("refused %+v, want request 2", effects.Refuse)
	}
	effects = q.Step(arrive(5, 5, 1, never), 0)
	if len(effects.Refuse) != 1 || effects.Refuse[0].ID != 5 || effects.Refuse[0].Reason != outcome.Overloaded {
		t.Errorf("refused %+v, want request 5", effects.Refuse)
	}
}

func TestEarliestDeadlineRunsFirst(t *testing.T) {
	q := newFullQueue(4)
	q.Step(arrive(2, 2, 1, 300), 0)
	q.Step(arrive(3, 3, 1, 100), 0)
	q.Step(arrive(4, 4, 1, 200), 0)
	if got := q.Step(finish(1, Answered, 1), 1).Start; len(got) != 1 || got[0] != 3 {
		t.Errorf("started %v, want request 3", got)
	}
	effects := q.Step(Event{Kind: Tick}, 250)
	if len(effects.Refuse) != 1 || effects.Refuse[0].ID != 4 || effects.Refuse[0].Reason != outcome.DeadlineExceeded {
		t.Errorf("refused %+v, want request 4", effects.Refuse)
	}
}

func TestFlowWithFewerRunningGoesFirst(t *testing.T) {
	q := New(Config{Slots: 2, QueueLimit: 4})
	q.Step(arrive(1, 1, 1, never), 0)
	q.Step(arrive(2, 1, 1, never), 0)
	q.Step(arrive(3, 1, 1, 100), 0)
	q.Step(arrive(4, 2, 1, 200), 0)
	if got := q.Step(finish(1, Answered, 1), 1).Start; len(got) != 1 || got[0] != 4 {
		t.Errorf("started %v, want request 4 of the other flow", got)
	}
}

// TestHotKeyDoesNotStarveOthers sends requests of one hot key at five times the
// target's capacity, and a few requests of another key.
func TestHotKeyDoesNotStarveOthers(t *testing.T) {
	s := newSim(Config{Slots: 4, QueueLimit: 8}, func(int) time.Duration { return 4 * time.Millisecond })
	light, lightDone := 0, 0
	for ms := range 2000 {
		s.advance(time.Millisecond)
		for range 5 {
			s.offer(1)
		}
		if ms%10 == 0 {
			light++
			s.offer(2)
		}
	}
	lightDone = s.done[2]
	if lightDone < light*99/100 {
		t.Errorf("%d of %d requests of the lightly used key ran", lightDone, light)
	}
	if s.done[1] < 1700 {
		t.Errorf("hot key ran %d times, want at least 1700", s.done[1])
	}
}

// TestLimitFallsWhenTheTargetSlowsUnderLoad uses a target whose processing time
// grows quadratically when more than four requests run at once. The adaptive
// limit must then complete at least 1.5 times as many requests as a fixed one.
func TestLimitFallsWhenTheTargetSlowsUnderLoad(t *testing.T) {
	degraded := false
	serviceTime := func(running int) time.Duration {
		if degraded && running > 4 {
			return time.Duration(running*running) * 2 * time.Millisecond
		}
		return 4 * time.Millisecond
	}
	goodput := func(adaptive bool) int {
		degraded = false
		s := newSim(Config{Slots: 16, QueueLimit: 16, FixedLimit: !adaptive}, serviceTime)
		s.run(3*time.Second, 3)
		degraded = true
		s.run(time.Second, 3)
		before := s.done[1]
		s.run(3*time.Second, 3)
		if _, _, limit := s.queue.Load(); adaptive && limit > 12 {
			t.Errorf("limit %d with a slow target", limit)
		}
		return s.done[1] - before
	}
	fixed, adaptive := goodput(false), goodput(true)
	t.Logf("%d requests ran with an adaptive limit, %d without", adaptive, fixed)
	if adaptive < fixed*3/2 {
		t.Errorf("%d requests ran with an adaptive limit, %d without", adaptive, fixed)
	}
}

// TestFewSlowRequestsDoNotLowerLimit checks that the limit stays high while
// one request in thirty takes a hundred times as long and one in twenty is shed.
func TestFewSlowRequestsDoNotLowerLimit(t *testing.T) {
	n := 0
	s := newSim(Config{Slots: 16, QueueLimit: 16}, func(int) time.Duration {
		n++
		if n%30 == 0 {
			return 200 * time.Millisecond
		}
		return 2 * time.Millisecond
	})
	s.shed = func(id uint64) bool { return id%20 == 0 }
	for range 30 {
		s.run(100*time.Millisecond, 2)
		if _, _, limit := s.queue.Load(); limit < 12 {
			t.Fatalf("limit %d at %v", limit, s.now)
		}
	}
}

// TestLimitFollowsSheds checks that the limit falls for a target that sheds
// load above four concurrent requests.
func TestLimitFollowsSheds(t *testing.T) {
	s := newSim(Config{Slots: 16, QueueLimit: 16}, func(int) time.Duration { return 4 * time.Millisecond })
	s.shed = func(uint64) bool { return len(s.running) >= 4 }
	s.run(3*time.Second, 4)
	if _, _, limit := s.queue.Load(); limit > 8 {
		t.Errorf("limit %d", limit)
	}
}

// TestQueueStaysShortForHungTarget checks that the queue stays short in front of
// a target that stops completing requests, although the queue limit is 100.
func TestQueueStaysShortForHungTarget(t *testing.T) {
	s := newSim(Config{Slots: 4, QueueLimit: 100}, func(int) time.Duration { return time.Millisecond })
	s.run(time.Second, 1)
	s.serviceTime = func(int) time.Duration { return time.Hour }
	s.run(time.Second, 1)
	if _, waiting, _ := s.queue.Load(); waiting > 8 {
		t.Errorf("%d requests are queued for a hung target", waiting)
	}
}

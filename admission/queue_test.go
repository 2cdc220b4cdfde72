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

func finish(id uint64, ending Completion, took time.Duration) Event {
	return Event{Kind: Finish, Item: Item{ID: id}, Completion: ending, Duration: took}
}

// TestInvariants drives a queue by random events: slots and queue are never
// exceeded, and each request is decided exactly once.
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

// filled returns a queue whose only slot is taken.
func filled(limit int) *Queue {
	q := New(Config{Slots: 1, QueueLimit: limit})
	q.Step(arrive(1, 1, 1, never), 0)
	return q
}

const never = clock.Time(time.Hour)

func TestLowPriorityGivesWay(t *testing.T) {
	q := filled(2)
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
	q := filled(4)
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

// TestHotKeyDoesNotStarveOthers offers a hot key at five times the capacity
// beside a quiet key.
func TestHotKeyDoesNotStarveOthers(t *testing.T) {
	s := newSim(Config{Slots: 4, QueueLimit: 8}, func(int) time.Duration { return 4 * time.Millisecond })
	quiet, quietDone := 0, 0
	for ms := range 2000 {
		s.advance(time.Millisecond)
		for range 5 {
			s.offer(1)
		}
		if ms%10 == 0 {
			quiet++
			s.offer(2)
		}
	}
	quietDone = s.done[2]
	if quietDone < quiet*99/100 {
		t.Errorf("%d of %d requests of the quiet key ran", quietDone, quiet)
	}
	if s.done[1] < 1700 {
		t.Errorf("hot key ran %d times, want at least 1700", s.done[1])
	}
}

// TestLimitFallsWhenTheTargetSlowsUnderLoad uses a target that takes far
// longer when more than two requests run.
func TestLimitFallsWhenTheTargetSlowsUnderLoad(t *testing.T) {
	crowded := false
	took := func(running int) time.Duration {
		if crowded && running > 4 {
			return time.Duration(running*running) * 2 * time.Millisecond
		}
		return 4 * time.Millisecond
	}
	goodput := func(adapt bool) int {
		crowded = false
		s := newSim(Config{Slots: 16, QueueLimit: 16, FixedLimit: !adapt}, took)
		s.run(3*time.Second, 3)
		crowded = true
		s.run(time.Second, 3)
		before := s.done[1]
		s.run(3*time.Second, 3)
		if _, _, limit := s.queue.Load(); adapt && limit > 12 {
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

// TestFewSlowRequestsLeaveTheLimitAlone: one request in thirty takes a hundred
// times as long, and one in twenty is shed.
func TestFewSlowRequestsLeaveTheLimitAlone(t *testing.T) {
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

// TestLimitFollowsSheds: a target that sheds above four requests at once.
func TestLimitFollowsSheds(t *testing.T) {
	s := newSim(Config{Slots: 16, QueueLimit: 16}, func(int) time.Duration { return 4 * time.Millisecond })
	s.shed = func(uint64) bool { return len(s.ends) >= 4 }
	s.run(3*time.Second, 4)
	if _, _, limit := s.queue.Load(); limit > 8 {
		t.Errorf("limit %d", limit)
	}
}

func TestFrozenTargetIsNotQueuedFor(t *testing.T) {
	s := newSim(Config{Slots: 4, QueueLimit: 100}, func(int) time.Duration { return time.Millisecond })
	s.run(time.Second, 1)
	s.took = func(int) time.Duration { return time.Hour }
	s.run(time.Second, 1)
	if _, waiting, _ := s.queue.Load(); waiting > 8 {
		t.Errorf("%d requests wait for a frozen target", waiting)
	}
}

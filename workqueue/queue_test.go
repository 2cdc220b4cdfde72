package workqueue

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/parsleystack/parsleystack/clock"
)

const testSlots = 4

// randomItem returns an item whose fields are derived from the random number x.
func randomItem(id uint64, x uint32, now clock.Time) Item {
	return Item{
		ID: id, Class: string('a' + rune(x>>4%3)), Priority: uint8(x >> 8 % 3), Arrived: now,
		Objective: now.Add(time.Duration(20+x>>16%80) * time.Millisecond), Deadline: now.Add(time.Duration(40+x>>16%300) * time.Millisecond),
	}
}

// TestInvariants applies random events to a queue and checks that the limit is
// never exceeded and that each item is decided exactly once.
func TestInvariants(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("limit and decisions", prop.ForAll(func(raw []uint32) bool {
		return followsInvariants(raw)
	}, gen.SliceOfN(300, gen.UInt32())))
	properties.TestingRun(t)
}

func followsInvariants(raw []uint32) bool {
	q := New(testSlots)
	waiting, running := make(map[uint64]bool), make(map[uint64]bool)
	now := clock.Time(1)
	decide := func(started []uint64, refused []Refusal) bool {
		for _, id := range started {
			if !waiting[id] {
				return false
			}
			delete(waiting, id)
			running[id] = true
		}
		for _, r := range refused {
			if !waiting[r.ID] || r.RetryAfter <= 0 {
				return false
			}
			delete(waiting, r.ID)
		}
		return true
	}
	for i, x := range raw {
		now = now.Add(time.Duration(x%5) * time.Millisecond)
		id := uint64(i + 1)
		switch {
		case x%4 == 0 && len(running) > 0:
			for id = range running {
				break
			}
			delete(running, id)
			if !decide(q.Finish(id, Completion(1+x>>8%5), time.Duration(x>>8%90)*time.Millisecond, now)) {
				return false
			}
		case x%32 == 1 && len(waiting) > 0:
			for id = range waiting {
				break
			}
			delete(waiting, id)
			if !q.Cancel(id) {
				return false
			}
		default:
			verdict, refusal := q.Arrive(randomItem(id, x, now), now)
			switch verdict {
			case Start:
				running[id] = true
			case Wait:
				waiting[id] = true
			case Refuse:
				if refusal.ID != id || refusal.RetryAfter <= 0 {
					return false
				}
			}
		}
		n, w, limit := q.Load()
		if n != len(running) || w != len(waiting) || limit > testSlots || limit < 1 {
			return false
		}
	}
	return true
}

// TestTurnsOfTheLeastUrgent guards against starvation of the lowest priority
// when items of two priorities wait for one slot: a low-priority item must get
// its turn, and every free slot must start an item.
func TestTurnsOfTheLeastUrgent(t *testing.T) {
	q := New(1)
	now := clock.Time(1)
	q.Arrive(Item{ID: 1, Class: "call", Priority: 1, Arrived: now, Objective: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}, now)
	const urgent = 3 * lowPriorityTurn
	for i := range uint64(urgent) {
		q.waiting = append(q.waiting, Item{ID: 100 + i, Priority: 1, Deadline: now.Add(time.Hour)})
	}
	q.waiting = append(q.waiting, Item{ID: 200, Priority: 0, Deadline: now.Add(time.Hour)})
	running := uint64(1)
	position := 0
	for i := range urgent + 1 {
		started, _ := q.Finish(running, Answered, time.Millisecond, now)
		if len(started) != 1 {
			t.Fatalf("started items %v, want one", started)
		}
		if running = started[0]; running == 200 {
			position = i + 1
		}
	}
	if position != lowPriorityTurn {
		t.Errorf("the item of the lowest priority was start number %d, want %d", position, lowPriorityTurn)
	}
}

// steadyQueue returns a queue that has observed 200 requests with the service time
// took and whose slots are all occupied by such requests, with evenly distributed
// ages.
func steadyQueue(slots int, took time.Duration, now clock.Time) *Queue {
	q := New(slots)
	item := Item{Class: "long", Arrived: now, Objective: now.Add(time.Second), Deadline: now.Add(3 * time.Second)}
	for range 200 {
		q.estimator.observeEnd(&running{item: item}, Answered, took)
	}
	for i := range slots {
		item.ID = uint64(1000 + i)
		q.running = append(q.running, running{item: item, since: now.Add(-took * time.Duration(i) / time.Duration(slots))})
	}
	return q
}

// TestShortCallsWaitForTheNextSlot guards against refusing short requests of a
// high priority at a full target. With 18 running requests of 360 ms, a slot
// becomes available every 20 ms, so a short request can meet its objective.
func TestShortCallsWaitForTheNextSlot(t *testing.T) {
	now := clock.Time(time.Hour)
	q := steadyQueue(18, 360*time.Millisecond, now)
	call := Item{ID: 1, Class: "call", Priority: 1, Arrived: now, Objective: now.Add(100 * time.Millisecond), Deadline: now.Add(250 * time.Millisecond)}
	q.estimator.classes["call"] = 0.022
	if v, refusal := q.Arrive(call, now); v != Wait {
		t.Fatalf("verdict %d, %+v", v, refusal)
	}
	refused := 0
	for id := uint64(2); id < 30 && refused == 0; id++ {
		call.ID = id
		if v, _ := q.Arrive(call, now); v == Refuse {
			refused = int(id)
		}
	}
	if refused < 3 || refused > 8 {
		t.Errorf("the first refused request is number %d; about 4 can meet their objective", refused)
	}
}

// TestTimeoutsCountAsLoad guards against underestimating the offered load when a
// target becomes so slow that all requests end at their deadline: 100 requests
// per second that occupy a slot for 0.5 s each are more than 18 slots can run.
func TestTimeoutsCountAsLoad(t *testing.T) {
	now := clock.Time(time.Hour)
	q := New(18)
	item := Item{Class: "view", Arrived: now, Objective: now.Add(200 * time.Millisecond), Deadline: now.Add(500 * time.Millisecond)}
	for range 200 {
		q.estimator.observeEnd(&running{item: item}, Answered, 60*time.Millisecond)
	}
	const second = 100
	for i := range 3 * second {
		now = now.Add(time.Second / second)
		item.Arrived = now
		q.estimator.observeArrival(&item, now)
		if i > second/2 {
			q.estimator.observeEnd(&running{item: item}, Failed, 500*time.Millisecond)
		}
	}
	if offered := q.OfferedLoad(now); offered < 1 {
		t.Errorf("offered load %.2f of the slots, want more than 1", offered)
	}
}

// Requests were started beside one that must run alone at its target.
func TestHeldQueueStartsOnlyAnExclusiveItemOnceItIsIdle(t *testing.T) {
	q, now := New(4), clock.Time(time.Hour)
	item := func(id uint64, exclusive bool) Item {
		return Item{ID: id, Class: "a", Arrived: now, Objective: now.Add(time.Second), Deadline: now.Add(2 * time.Second), Exclusive: exclusive}
	}
	arrive := func(id uint64, exclusive bool, want Verdict) {
		t.Helper()
		if got, _ := q.Arrive(item(id, exclusive), now); got != want {
			t.Errorf("item %d: verdict %v, want %v", id, got, want)
		}
	}
	arrive(1, false, Start)
	q.Hold()
	arrive(2, false, Wait)
	if started, _ := q.Finish(1, Answered, time.Millisecond, now); len(started) != 0 {
		t.Errorf("started %v while held", started)
	}
	arrive(4, true, Start)
	if started, _ := q.Finish(4, Failed, time.Millisecond, now); len(started) != 0 {
		t.Errorf("started %v while held", started)
	}
	if next := q.ForNewIncarnation(4); !next.held {
		t.Error("a new incarnation is not held")
	}
	if started, _ := q.Resume(now); len(started) != 1 || started[0] != 2 {
		t.Errorf("started %v after the hold, want 2", started)
	}
}

// Guards against a slow target that seems to be quick, since second copies of its requests are
// answered elsewhere, and against a quick one that seems slow, since they were canceled early.
func TestReplacedRequestsCountIfTheyWereSlow(t *testing.T) {
	for _, tc := range []struct {
		completion Completion
		took       time.Duration
		counts     bool
	}{{Replaced, time.Second, true}, {Replaced, 10 * time.Millisecond, false}, {Canceled, time.Second, false}} {
		e := newEstimator()
		item := Item{Class: "a", Objective: clock.Time(time.Second)}
		e.observeEnd(&running{item: item}, Answered, 100*time.Millisecond)
		mean, ratio, failures := e.classes["a"], e.latencyRatio, e.failureRatio
		e.observeEnd(&running{item: item}, tc.completion, tc.took)
		if counted := e.classes["a"] > mean && e.latencyRatio > ratio; counted != tc.counts || !counted && (e.classes["a"] != mean || e.latencyRatio != ratio) || e.failureRatio != failures {
			t.Errorf("%v after %v: mean %v to %v, ratio %v to %v", tc.completion, tc.took, mean, e.classes["a"], ratio, e.latencyRatio)
		}
	}
}

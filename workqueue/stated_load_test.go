package workqueue

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/loadstate"
)

const (
	slowPeriod = 400 * time.Millisecond
	slowTime   = 80 * time.Millisecond // of each period
	slowness   = 3
)

// pulsingTarget takes three times as long for work during a fifth of the time.
type pulsingTarget struct {
	queue  *Queue
	offset time.Duration
}

// slownessAt returns the duration of work that begins at a time.
func (t *pulsingTarget) slownessAt(at clock.Time) float64 {
	if time.Duration(at+clock.Time(t.offset))%slowPeriod < slowTime {
		return slowness
	}
	return 1
}

// took returns the service time of work that begins at a time. If the work follows the speed
// while it runs, the speed at its begin does not decide.
func (t *pulsingTarget) took(work time.Duration, from clock.Time, follows bool) time.Duration {
	if !follows {
		return scale(work, t.slownessAt(from))
	}
	at := from
	for left := work; left > 0; at = at.Add(time.Millisecond) {
		left -= scale(time.Millisecond, 1/t.slownessAt(at))
	}
	return at.Sub(from)
}

// fleetReplay is a load on several pulsing targets. A request that one refuses is placed at
// another one, at most four times.
type fleetReplay struct {
	states  bool // the targets state their load
	follows bool // work follows the speed of the target while it runs
	targets []*pulsingTarget
	events  eventHeap
	items   map[uint64]*fleetItem
	inTime  int
	arrived int
	next    uint64
	random  *rand.Rand
}

type fleetItem struct {
	item  Item
	work  time.Duration
	at    *pulsingTarget
	tried []*pulsingTarget
	took  time.Duration
}

const (
	fleetWork      = 190 * time.Millisecond
	fleetObjective = 500 * time.Millisecond
	fleetDeadline  = time.Second
)

func (r *fleetReplay) run(targets int, perSecond float64, length time.Duration) {
	r.items, r.random = make(map[uint64]*fleetItem), rand.New(rand.NewPCG(3, 5))
	for range targets {
		r.targets = append(r.targets, &pulsingTarget{queue: New(12), offset: time.Duration(r.random.Int64N(int64(slowPeriod)))})
	}
	for at := replayStart; at < replayStart.Add(length); {
		at = at.Add(time.Duration(r.random.ExpFloat64() / perSecond * float64(time.Second)))
		heap.Push(&r.events, replayEvent{at: at})
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(replayEvent)
		if e.ends {
			r.end(e)
			continue
		}
		work := time.Duration((0.7 + 0.6*r.random.Float64()) * float64(fleetWork))
		r.arrived++
		r.place(&fleetItem{work: work, item: Item{
			Class: "next-leg", Arrived: e.at, Objective: e.at.Add(fleetObjective), Deadline: e.at.Add(fleetDeadline), Movable: true,
		}}, e.at)
	}
}

// place offers an item to the least loaded target that has not refused it.
func (r *fleetReplay) place(f *fleetItem, now clock.Time) {
	for len(f.tried) < min(4, len(r.targets)) {
		var best *pulsingTarget
		lowest := 0.0
		for _, t := range r.targets {
			running, waiting, _ := t.queue.Load()
			if load := float64(running+waiting) + r.random.Float64(); (best == nil || load < lowest) && !f.hasTried(t) {
				best, lowest = t, load
			}
		}
		f.tried, f.at = append(f.tried, best), best
		r.next++
		f.item.ID = r.next
		r.items[f.item.ID] = f
		verdict, _ := best.queue.Arrive(f.item, now)
		if verdict == Start {
			r.begin(f, now)
		}
		if verdict != Refuse {
			return
		}
		now = now.Add(4 * time.Millisecond) // a round trip
	}
}

func (f *fleetItem) hasTried(t *pulsingTarget) bool {
	for _, x := range f.tried {
		if x == t {
			return true
		}
	}
	return false
}

func (r *fleetReplay) begin(f *fleetItem, now clock.Time) {
	f.took = f.at.took(f.work, now, r.follows)
	heap.Push(&r.events, replayEvent{at: now.Add(f.took), id: f.item.ID, ends: true})
}

func (r *fleetReplay) end(e replayEvent) {
	f := r.items[e.id]
	if e.at.Sub(f.item.Objective) <= 0 {
		r.inTime++
	}
	if r.states {
		f.at.queue.ObserveLoad(loadstate.Figures{Slots: 12, Slowness: f.at.slownessAt(e.at)}, e.at)
	}
	started, refused := f.at.queue.Finish(e.id, Answered, f.took, e.at)
	for _, id := range started {
		r.begin(r.items[id], e.at)
	}
	for _, x := range refused {
		r.place(r.items[x.ID], e.at)
	}
}

func (r *fleetReplay) timely() float64 { return float64(r.inTime) / float64(r.arrived) }

// meanTime returns the learned service time of the usual speed, averaged over the targets.
func (r *fleetReplay) meanTime() (mean time.Duration) {
	for _, t := range r.targets {
		mean += t.queue.estimator.meanTime(&Item{Class: "next-leg"}) / time.Duration(len(r.targets))
	}
	return mean
}

// Targets whose work takes three times as long for a fifth of the time run a fifth of their
// requests too late, and their usual service time looks 40% longer than it is.
func TestStatedSlownessSendsRequestsToOtherTargets(t *testing.T) {
	for _, follows := range []bool{false, true} {
		for _, perSecond := range []float64{80, 160, 320} { // of about 360 that the targets can run
			with, without := &fleetReplay{states: true, follows: follows}, &fleetReplay{follows: follows}
			with.run(8, perSecond, 60*time.Second)
			without.run(8, perSecond, 60*time.Second)
			t.Logf("follows %v, %.0f a second: %.3f in time with the statement, %.3f without; mean %v and %v, sensitivity %.2f",
				follows, perSecond, with.timely(), without.timely(), with.meanTime(), without.meanTime(), with.targets[0].queue.estimator.load.sensitivity)
			gain, longest := 0.02, 1.25*fleetWork.Seconds()
			if follows { // the speed at the start says little, and 219 ms is the usual time
				gain, longest = -0.005, 1.05*without.meanTime().Seconds()
			}
			if with.timely() < without.timely()+gain {
				t.Errorf("follows %v, %.0f a second: %.3f of the requests end in time with the statement, %.3f without", follows, perSecond, with.timely(), without.timely())
			}
			if mean := with.meanTime().Seconds(); mean > longest || mean < 0.9*fleetWork.Seconds() {
				t.Errorf("follows %v, %.0f a second: the usual service time is learned as %.3f s, it is %v", follows, perSecond, mean, fleetWork)
			}
		}
	}
}

// A request that no other target may run is not refused because its target is slow just now.
func TestSlowTargetsRunTheirKeys(t *testing.T) {
	now := replayStart
	for _, movable := range []bool{true, false} {
		q := New(4)
		q.estimator.classes["view"] = 0.2
		item := Item{ID: 1, Class: "view", Arrived: now, Objective: now.Add(500 * time.Millisecond), Deadline: now.Add(2 * time.Second), Movable: movable}
		q.ObserveLoad(loadstate.Figures{Slowness: 3}, now)
		verdict, refusal := q.Arrive(item, now)
		if want := map[bool]Verdict{true: Refuse, false: Start}[movable]; verdict != want || refusal.Slow != movable {
			t.Errorf("movable %v: verdict %v, %+v, want %v", movable, verdict, refusal, want)
		}
		item.ID = 2
		if verdict, _ := q.Arrive(item, now.Add(200*time.Millisecond)); verdict != Start {
			t.Errorf("movable %v: verdict %v 200 ms after the figure", movable, verdict)
		}
	}
}

// A target in trouble that shed requests at random was sent half as many, and so served half of
// what it could. One that is full, or says nothing, still gets fewer.
func TestShedRequestsOfATargetWithFreeSlotsKeepItsLimit(t *testing.T) {
	for name, tc := range map[string]struct {
		stated *loadstate.Figures
		want   int
	}{
		"free slots":       {&loadstate.Figures{Running: 4, Slots: 12, Slowness: 1}, 12},
		"full":             {&loadstate.Figures{Running: 12, Slots: 12, Slowness: 1}, 6},
		"requests waiting": {&loadstate.Figures{Running: 11, Waiting: 3, Slots: 12, Slowness: 1}, 6},
		"nothing stated":   {nil, 6},
	} {
		q, now := New(12), clock.Time(time.Hour)
		item := Item{ID: 1, Class: "a", Arrived: now, Objective: now.Add(time.Second), Deadline: now.Add(time.Second)}
		if verdict, _ := q.Arrive(item, now); verdict != Start {
			t.Fatalf("verdict %v", verdict)
		}
		if tc.stated != nil {
			q.ObserveLoad(*tc.stated, now)
		}
		q.Finish(1, Shed, time.Millisecond, now)
		if _, _, limit := q.Load(); limit != tc.want {
			t.Errorf("%s: limit %d, want %d", name, limit, tc.want)
		}
	}
}

package workqueue

import (
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

const (
	// maxWaiting bounds the queue where estimates fail.
	maxWaiting = 512
	// minRetryAfter keeps refused callers from coming back at once.
	minRetryAfter = 30 * time.Millisecond
	// maxRetryAfter is about the longest a caller with a short deadline waits.
	maxRetryAfter = time.Second
	// lateMargin is the time that an answer takes back to the caller.
	lateMargin = 10 * time.Millisecond
	// waitMargin and tookMargin stretch the estimates where they decide whether
	// an answer would be late, since half of all requests take longer than
	// estimated.
	waitMargin = 1.5
	tookMargin = 1.1
	// shedPause is how long the limit stays below what a target has shed at.
	shedPause = 500 * time.Millisecond
	// turnEvery is the number of starts after which a less urgent item that
	// waits is run, so that no class starves.
	turnEvery = 8
	// keptMargin is the ratio of the slots that are kept for urgent items to
	// those that they fill on average.
	keptMargin = 1.0
	// maxKept is the largest share of the slots that is kept, so that no class
	// starves.
	maxKept = 0.75
)

// running is an item at the target.
type running struct {
	item  Item
	since clock.Time
}

// Queue is the state of one target.
type Queue struct {
	slots     int
	limit     int
	limitedAt clock.Time
	pace      pace
	running   []running
	waiting   []Item // in the order in which they run
	closed    bool
	starts    int // since the least urgent item that waits was passed over

	started []uint64
	refused []Refusal
}

// New returns an empty queue for a target with the given slots.
func New(slots int) *Queue {
	return &Queue{slots: max(slots, 1), limit: max(slots, 1), pace: newPace()}
}

// SetSlots changes the number of requests that the target runs at once.
func (q *Queue) SetSlots(n int) {
	if n = max(n, 1); n != q.slots {
		q.slots, q.limit = n, n
	}
}

// Load returns the numbers of items that run and wait, and the limit.
func (q *Queue) Load() (running, waiting, limit int) { return len(q.running), len(q.waiting), q.limit }

// Pace returns the mean time at the target as a share of the objectives, and
// the share of requests that failed there.
func (q *Queue) Pace() (pace, failing float64) { return q.pace.relative, q.pace.failing }

// Expect returns how long an item is expected to take at the target.
func (q *Queue) Expect(item *Item, now clock.Time) time.Duration {
	return q.pace.expect(item, q.pace.slowdown(q.running, now))
}

// Offered returns the work that arrives as a share of what the slots can run.
func (q *Queue) Offered(now clock.Time) float64 { return q.pace.offered(now) / float64(q.slots) }

// Arrive decides on a new item. An item that starts displaces nothing.
func (q *Queue) Arrive(item Item, now clock.Time) (Verdict, Refusal) {
	q.pace.arrived(&item, now)
	if q.closed {
		return Refuse, Refusal{ID: item.ID, RetryAfter: minRetryAfter}
	}
	slowdown := q.pace.slowdown(q.running, now)
	took := q.pace.expect(&item, slowdown)
	if q.mayStart(&item) && (len(q.waiting) == 0 || item.before(&q.waiting[0])) {
		// A target that runs nothing gets the request all the same, so that one
		// that has recovered is noticed.
		if now.Add(took).Sub(item.Deadline) > 0 && len(q.running) > 0 {
			return Refuse, Refusal{ID: item.ID, RetryAfter: q.spread(&item, minRetryAfter), Late: true}
		}
		q.start(item, now)
		return Start, Refusal{}
	}
	wait := q.expectedWait(&item, slowdown)
	done := now.Add(wait + took)
	late := now.Add(time.Duration(waitMargin*float64(wait) + tookMargin*float64(took))).Sub(item.Objective)
	switch {
	case len(q.waiting) >= maxWaiting, done.Add(lateMargin).Sub(item.Deadline) > 0:
		return Refuse, Refusal{ID: item.ID, RetryAfter: q.spread(&item, wait), Late: true}
	case late > 0 && now.Before(item.Objective):
		return Refuse, Refusal{ID: item.ID, RetryAfter: q.spread(&item, late)}
	}
	at, _ := slices.BinarySearchFunc(q.waiting, item, func(x, y Item) int {
		if x.before(&y) {
			return -1
		}
		return 1
	})
	q.waiting = slices.Insert(q.waiting, at, item)
	return Wait, Refusal{}
}

// Finish reports the end of a started item after took at the target. It
// returns the items to start and to refuse now, valid until the next call.
func (q *Queue) Finish(id uint64, ending Ending, took time.Duration, now clock.Time) ([]uint64, []Refusal) {
	i := slices.IndexFunc(q.running, func(r running) bool { return r.item.ID == id })
	if i >= 0 {
		q.pace.finished(&q.running[i].item, ending, took)
		q.running = slices.Delete(q.running, i, i+1)
		q.adapt(ending, now)
	}
	return q.advance(now)
}

// adapt lowers the limit where the target sheds and raises it again later.
func (q *Queue) adapt(ending Ending, now clock.Time) {
	switch {
	case ending == Shed:
		q.limit = max(min(q.limit, len(q.running)), q.slots/2, 1)
		q.limitedAt = now
	case ending == Answered && q.limit < q.slots && now.Sub(q.limitedAt) > shedPause:
		q.limit++
		q.limitedAt = now
	}
}

// Leave removes a waiting item. It reports whether the item waited.
func (q *Queue) Leave(id uint64) bool {
	i := slices.IndexFunc(q.waiting, func(x Item) bool { return x.ID == id })
	if i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	return i >= 0
}

// Advance lets time pass; it returns what Finish returns.
func (q *Queue) Advance(now clock.Time) ([]uint64, []Refusal) { return q.advance(now) }

// Close refuses all waiting items and all that arrive from now on.
func (q *Queue) Close() []Refusal {
	q.closed = true
	q.refused = q.refused[:0]
	for i := range q.waiting {
		q.refused = append(q.refused, Refusal{ID: q.waiting[i].ID, RetryAfter: minRetryAfter})
	}
	q.waiting = q.waiting[:0]
	return q.refused
}

func (q *Queue) advance(now clock.Time) ([]uint64, []Refusal) {
	q.started, q.refused = q.started[:0], q.refused[:0]
	q.dropHopeless(now)
	for len(q.waiting) > 0 && q.mayStart(&q.waiting[0]) {
		i := q.next()
		if !q.mayStart(&q.waiting[i]) {
			i = 0
		}
		item := q.waiting[i]
		q.waiting = slices.Delete(q.waiting, i, i+1)
		q.start(item, now)
		q.started = append(q.started, item.ID)
	}
	return q.started, q.refused
}

// dropHopeless refuses waiting items that can't be done by their deadline even
// if they start now.
func (q *Queue) dropHopeless(now clock.Time) {
	q.waiting = slices.DeleteFunc(q.waiting, func(x Item) bool {
		if now.Add(q.pace.usual(&x)).Sub(x.Deadline) <= 0 {
			return false
		}
		q.refused = append(q.refused, Refusal{ID: x.ID, RetryAfter: q.spread(&x, minRetryAfter), Late: true})
		return true
	})
}

// next returns the index of the waiting item to start: the first one, and at
// times the first of the least urgent.
func (q *Queue) next() int {
	least := q.waiting[len(q.waiting)-1].Priority
	if least == q.waiting[0].Priority {
		q.starts = 0
		return 0
	}
	if q.starts++; q.starts < turnEvery {
		return 0
	}
	q.starts = 0
	return slices.IndexFunc(q.waiting, func(x Item) bool { return x.Priority == least })
}

// mayStart reports whether there is a slot for an item beside those that are
// kept for more urgent ones.
func (q *Queue) mayStart(item *Item) bool {
	if len(q.running) >= q.limit {
		return false
	}
	for _, u := range q.pace.used {
		if u >= int(item.Priority) && q.atMost(uint8(u)) >= q.room(uint8(u)) {
			return false
		}
	}
	return true
}

// atMost counts the items at the target that are no more urgent than priority.
func (q *Queue) atMost(priority uint8) int {
	n := 0
	for i := range q.running {
		if q.running[i].item.Priority <= priority {
			n++
		}
	}
	return n
}

// room returns how many slots items up to a priority may take. What is more
// urgent and arrives keeps the rest: a long request in a slot can't make way.
func (q *Queue) room(priority uint8) int {
	kept := min(q.pace.urgent(priority)*keptMargin, float64(q.limit)*maxKept)
	return q.limit - int(kept)
}

func (q *Queue) start(item Item, now clock.Time) {
	q.running = append(q.running, running{item: item, since: now})
}

// expectedWait estimates the time until an item that arrives now would start:
// the slots that run free one after the other go to those ahead of it, then to
// it.
func (q *Queue) expectedWait(item *Item, slowdown float64) time.Duration {
	kept := q.atMost(item.Priority) >= q.room(item.Priority) // for more urgent items
	ends := 0.0                                              // a second
	for i := range q.running {
		if r := &q.running[i].item; !kept || r.Priority <= item.Priority {
			ends += 1 / max(q.pace.expect(r, slowdown).Seconds(), shortest)
		}
	}
	ahead := 1
	for i := range q.waiting {
		if w := &q.waiting[i]; w.before(item) && (!kept || w.Priority <= item.Priority) {
			ahead++
		}
	}
	if ends == 0 {
		return 0
	}
	crowding := 1.0
	if !kept {
		crowding = q.pace.crowding(item, q.limit)
	}
	wait := float64(ahead) / ends * crowding * crowding // what is urgent comes in bursts
	return time.Duration(min(wait, longestWait) * float64(time.Second))
}

const (
	// shortest and longestWait, in seconds, keep estimates finite.
	shortest    = 0.001
	longestWait = 3600
)

// spread returns when a refused caller may come back: when there is room for
// it, scattered by its id over as long again, so that those refused together
// do not return together.
func (q *Queue) spread(item *Item, room time.Duration) time.Duration {
	room = min(max(room, minRetryAfter), maxRetryAfter)
	share := float64(item.ID*0x9e3779b97f4a7c15>>40) / (1 << 24)
	return room + time.Duration(share*float64(room))
}

// Renewed returns the queue for a later life of the target: what waits stays,
// what ran is gone, and the pace is learnt anew.
func (q *Queue) Renewed(slots int) *Queue {
	n := New(slots)
	n.waiting = q.waiting
	return n
}

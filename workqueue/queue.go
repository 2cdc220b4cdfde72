package workqueue

import (
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/coldstart"
	"github.com/parsleystack/parsleystack/ratelimit"
)

const (
	// maxWaiting bounds the length of the queue if the estimates are wrong.
	maxWaiting = 512
	// minRetryAfter is the shortest delay before a retry. It keeps refused
	// callers from retrying immediately.
	minRetryAfter = 30 * time.Millisecond
	// maxRetryAfter is the longest delay before a retry, without the random
	// part. It is about the longest time that a caller with a short deadline waits.
	maxRetryAfter = time.Second
	// replyMargin is the time reserved for sending the response to the caller.
	replyMargin = 10 * time.Millisecond
	// waitMargin and runMargin scale up the estimates of wait and service time
	// when they decide whether a response would be late, because half of all
	// requests take longer than estimated.
	waitMargin = 1.5
	runMargin  = 1.1
	// limitRaiseInterval is the interval at which the limit is raised by one after
	// the target has shed a request.
	limitRaiseInterval = 500 * time.Millisecond
	// lowPriorityTurn is the number of starts after which a waiting item of the
	// lowest priority is run, so that no class starves.
	lowPriorityTurn = 8
	// reserveMargin is the ratio of the slots that are reserved for more urgent items
	// to those that they occupy on average.
	reserveMargin = 1.0
	// maxReservedShare is the largest share of the slots, or of the requests that a rate
	// limit lets through at once, that is reserved, so that no class starves.
	maxReservedShare = 0.75
)

// running is an item at the target.
type running struct {
	item  Item
	since clock.Time
	// extra is the deviation from the usual service time, relative to it, that was expected from
	// what the target had stated when the item started.
	extra float64
}

// Queue is the admission queue of one target.
type Queue struct {
	slots           int
	limit           int
	limitChangedAt  clock.Time
	pacer           ratelimit.Pacer    // by the requests a second that the target accepts
	cold            *coldstart.Tracker // paces items while the target is cold; nil if it does not
	estimator       estimator
	running         []running
	waiting         []Item // sorted by the order in which they run
	closed          bool
	held            bool // only an exclusive item starts
	startsSinceTurn int  // starts since an item of the lowest waiting priority had its turn

	started []uint64
	refused []Refusal
}

// New returns an empty queue for a target with the given slots.
func New(slots int) *Queue {
	return &Queue{slots: max(slots, 1), limit: max(slots, 1), estimator: newEstimator()}
}

// SetSlots sets the number of requests that the target runs concurrently.
func (q *Queue) SetSlots(n int) {
	if n = max(n, 1); n != q.slots {
		q.slots, q.limit = n, n
	}
}

// Load returns the numbers of running and waiting items and the current
// concurrency limit.
func (q *Queue) Load() (running, waiting, limit int) { return len(q.running), len(q.waiting), q.limit }

// TargetStats returns the mean service time as a share of the objectives and
// the share of requests that failed.
func (q *Queue) TargetStats() (latencyRatio, failureRatio float64) {
	return q.estimator.latencyRatio, q.estimator.failureRatio
}

// ExpectedTime returns the expected service time of an item at the target.
func (q *Queue) ExpectedTime(item *Item, now clock.Time) time.Duration {
	return scale(q.estimator.expectedTime(item, q.estimator.slowdown(q.running, now)), q.estimator.load.at(now))
}

// OfferedLoad returns the arriving work as a share of what the slots can run or, if that
// is more, the arriving requests as a share of the target's rate limit.
func (q *Queue) OfferedLoad(now clock.Time) float64 {
	load := q.estimator.offeredWork(now) / float64(q.slots)
	if q.pacer.Limited() {
		load = max(load, q.estimator.offeredRequests()/q.pacer.Rate())
	}
	return load
}

// Arrive decides whether a new item starts, waits or is refused. It never
// displaces items that already run or wait.
func (q *Queue) Arrive(item Item, now clock.Time) (Verdict, Refusal) {
	q.estimator.observeArrival(&item, now)
	if q.closed {
		return Refuse, Refusal{ID: item.ID, RetryAfter: minRetryAfter}
	}
	slowdown := q.estimator.slowdown(q.running, now)
	usual := q.estimator.expectedTime(&item, slowdown)
	if q.pacedWait(&item, 0, now) == 0 && q.mayStart(&item) && (len(q.waiting) == 0 || item.Exclusive || item.before(&q.waiting[0])) {
		took := scale(usual, q.estimator.load.at(now))
		// An idle target receives the request even if it is expected to be late,
		// so that a recovered target is detected.
		if now.Add(took).Sub(item.Deadline) > 0 && len(q.running) > 0 {
			return Refuse, Refusal{ID: item.ID, RetryAfter: q.retryAfter(&item, minRetryAfter), Late: true}
		}
		if late, refuse := q.refuseWhileSlow(&item, usual, took, now); refuse {
			return Refuse, Refusal{ID: item.ID, RetryAfter: q.retryAfter(&item, late), Slow: true}
		}
		if late, refuse := q.refuseForLink(&item, took, now); refuse {
			return Refuse, Refusal{ID: item.ID, RetryAfter: q.retryAfter(&item, late)}
		}
		q.start(item, now)
		return Start, Refusal{}
	}
	wait, paced := q.expectedWait(&item, slowdown), q.expectedPacedWait(&item, now)
	rateLimited := paced > wait
	wait = max(wait, paced)
	took := scale(usual, q.estimator.load.at(now.Add(wait)))
	done := q.delivered(&item, now.Add(wait+took), now)
	late := q.delivered(&item, now.Add(time.Duration(waitMargin*float64(wait)+runMargin*float64(took))), now).Sub(item.Objective)
	switch {
	case len(q.waiting) >= maxWaiting, done.Add(replyMargin).Sub(item.Deadline) > 0:
		return Refuse, Refusal{ID: item.ID, RetryAfter: q.retryAfter(&item, wait), Late: true, RateLimited: rateLimited}
	case late > 0 && now.Before(item.Objective) && !item.Call:
		return Refuse, Refusal{ID: item.ID, RetryAfter: q.retryAfter(&item, late), RateLimited: rateLimited}
	}
	index, _ := slices.BinarySearchFunc(q.waiting, item, func(x, y Item) int {
		if x.before(&y) {
			return -1
		}
		return 1
	})
	q.waiting = slices.Insert(q.waiting, index, item)
	return Wait, Refusal{}
}

// Finish records the end of a started item that spent took at the target. It
// returns the items to start and to refuse now. The slices are valid until the
// next call.
func (q *Queue) Finish(id uint64, completion Completion, took time.Duration, now clock.Time) ([]uint64, []Refusal) {
	i := slices.IndexFunc(q.running, func(r running) bool { return r.item.ID == id })
	if i >= 0 {
		q.estimator.observeEnd(&q.running[i], completion, took)
		q.running = slices.Delete(q.running, i, i+1)
		if completion == NotSent {
			q.pacer.Return(now)
		}
		q.adjustLimit(completion, now)
	}
	q.coldEnded(id, completion, now)
	return q.advance(now)
}

// adjustLimit lowers the concurrency limit when the target sheds a request and
// raises it again one by one while requests are answered. A target that states free slots
// sheds for another reason, which fewer requests would not end.
func (q *Queue) adjustLimit(completion Completion, now clock.Time) {
	switch {
	case completion == Shed && q.statesFreeSlots(now):
	case completion == Shed:
		q.limit = max(min(q.limit, len(q.running)), q.slots/2, 1)
		q.limitChangedAt = now
	case completion == Answered && q.limit < q.slots && now.Sub(q.limitChangedAt) > limitRaiseInterval:
		q.limit++
		q.limitChangedAt = now
	}
}

// Cancel removes a waiting item. It reports whether the item was waiting.
func (q *Queue) Cancel(id uint64) bool {
	i := slices.IndexFunc(q.waiting, func(x Item) bool { return x.ID == id })
	if i >= 0 {
		q.waiting = slices.Delete(q.waiting, i, i+1)
	}
	return i >= 0
}

// Advance re-evaluates the queue at the time now. It returns the items to start
// and to refuse, as Finish does.
func (q *Queue) Advance(now clock.Time) ([]uint64, []Refusal) { return q.advance(now) }

// Hold stops the start of items, except for an exclusive one once no other runs, until
// Resume.
func (q *Queue) Hold() { q.held = true }

// Resume ends Hold. It returns the items to start and to refuse now, as Finish does.
func (q *Queue) Resume(now clock.Time) ([]uint64, []Refusal) {
	q.held = false
	return q.advance(now)
}

// Close refuses all waiting items. All items that arrive later are refused.
func (q *Queue) Close() []Refusal {
	q.closed = true
	return q.RefuseWaiting()
}

// RefuseWaiting refuses all waiting items.
func (q *Queue) RefuseWaiting() []Refusal {
	q.refused = q.refused[:0]
	for i := range q.waiting {
		q.refused = append(q.refused, Refusal{ID: q.waiting[i].ID, RetryAfter: minRetryAfter})
	}
	q.waiting = q.waiting[:0]
	return q.refused
}

func (q *Queue) advance(now clock.Time) ([]uint64, []Refusal) {
	q.started, q.refused = q.started[:0], q.refused[:0]
	q.refuseUnmeetable(now)
	for len(q.waiting) > 0 && q.pacedWait(&q.waiting[0], 0, now) == 0 && q.mayStart(&q.waiting[0]) {
		i := q.nextIndex()
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

// LatestStart returns the time after which an item that waits is refused, because its response
// would be late. It is early enough for the refusal to arrive before the deadline.
func (q *Queue) LatestStart(item *Item) clock.Time {
	return item.Deadline.Add(-max(q.estimator.meanTime(item), replyMargin))
}

// refuseUnmeetable refuses waiting items that would miss their deadline even if they
// started now, or as soon as the rate limit lets them.
func (q *Queue) refuseUnmeetable(now clock.Time) {
	kept := 0
	q.waiting = slices.DeleteFunc(q.waiting, func(x Item) bool {
		paced := q.pacedWait(&x, kept, now)
		if now.Add(paced).Sub(q.LatestStart(&x)) <= 0 {
			kept++
			return false
		}
		q.refused = append(q.refused, Refusal{ID: x.ID, RetryAfter: q.retryAfter(&x, max(paced, minRetryAfter)), Late: true, RateLimited: paced > 0})
		return true
	})
}

// nextIndex returns the index of the waiting item to start: the first one, or every
// lowPriorityTurn starts the first one of the lowest priority.
func (q *Queue) nextIndex() int {
	lowest := q.waiting[len(q.waiting)-1].Priority
	if lowest == q.waiting[0].Priority {
		q.startsSinceTurn = 0
		return 0
	}
	if q.startsSinceTurn++; q.startsSinceTurn < lowPriorityTurn {
		return 0
	}
	q.startsSinceTurn = 0
	return slices.IndexFunc(q.waiting, func(x Item) bool { return x.Priority == lowest })
}

// mayStart reports whether a slot is available for an item without those that
// are reserved for more urgent items.
func (q *Queue) mayStart(item *Item) bool {
	if q.held && (!item.Exclusive || len(q.running) > 0) || len(q.running) >= q.limit {
		return false
	}
	least := item.urgency()
	for i := range q.estimator.arrivals {
		u := q.estimator.arrivals[i].urgency
		if u >= least && q.runningUpTo(u) >= q.availableSlots(u) {
			return false
		}
	}
	return true
}

// runningUpTo counts the running items that are not more urgent than u.
func (q *Queue) runningUpTo(u urgency) int {
	n := 0
	for i := range q.running {
		if q.running[i].item.urgency() <= u {
			n++
		}
	}
	return n
}

// availableSlots returns how many slots items that are not more urgent than u may
// occupy. The rest is reserved for more urgent arrivals, because a running request
// cannot be preempted.
func (q *Queue) availableSlots(u urgency) int {
	reserved := min(q.estimator.moreUrgentWork(u)*reserveMargin, float64(q.limit)*maxReservedShare)
	return q.limit - int(reserved)
}

func (q *Queue) start(item Item, now clock.Time) {
	q.pacer.Take(now)
	q.coldStarted(item.ID, now)
	q.running = append(q.running, running{item: item, since: now, extra: q.estimator.load.at(now) - 1})
}

// expectedWait estimates the time until an item that arrives now would start,
// from the rate at which slots become available and the number of items ahead.
func (q *Queue) expectedWait(item *Item, slowdown float64) time.Duration {
	u := item.urgency()
	reservedOnly := q.runningUpTo(u) >= q.availableSlots(u) // the other slots are reserved for more urgent items
	completions := 0.0                                      // completions per second
	for i := range q.running {
		if r := &q.running[i].item; !reservedOnly || r.urgency() <= u {
			completions += 1 / max(q.estimator.expectedTime(r, slowdown).Seconds()*(1+q.running[i].extra), minSeconds)
		}
	}
	ahead, work := 1, 0.0 // work is that of the items ahead, in seconds
	for i := range q.waiting {
		if w := &q.waiting[i]; w.before(item) && (!reservedOnly || w.urgency() <= u) {
			ahead++
			work += q.estimator.expectedTime(w, slowdown).Seconds()
		}
	}
	if completions == 0 {
		return 0
	}
	factor := 1.0
	if !reservedOnly {
		factor = q.estimator.waitFactor(item, q.limit)
	}
	// The items ahead start one by one as running items end, or, if they are short, one
	// after the other in the first slot that becomes available.
	wait := min(float64(ahead)/completions, 1/completions+work)
	wait *= factor
	if !item.Call { // a call that waits in vain loses no more than one that is refused at once
		wait *= factor // again because arrivals of a higher priority come in bursts
	}
	return time.Duration(min(wait, maxWaitSeconds) * float64(time.Second))
}

const (
	// minSeconds and maxWaitSeconds keep the estimates finite.
	minSeconds     = 0.001
	maxWaitSeconds = 3600
)

// retryAfter returns the delay before a refused caller should retry: the time until
// a slot is expected to be available, plus a jitter of up to the same time that
// is derived from the item's ID, so that callers that were refused together do
// not retry together.
func (q *Queue) retryAfter(item *Item, wait time.Duration) time.Duration {
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	share := float64(item.ID*0x9e3779b97f4a7c15>>40) / (1 << 24)
	return wait + time.Duration(share*float64(wait))
}

// ForNewIncarnation returns a queue for a later incarnation of the target. It
// keeps the waiting items, drops the running ones and resets the estimates.
func (q *Queue) ForNewIncarnation(slots int) *Queue {
	n := New(slots)
	n.waiting, n.held, n.cold = q.waiting, q.held, q.cold
	return n
}

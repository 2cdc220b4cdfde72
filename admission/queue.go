package admission

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/outcome"
)

// minRetryAfter is the lower bound of Refusal.RetryAfter for refusals that
// carry one.
const minRetryAfter = 50 * time.Millisecond

// flowShareDivisor sets a flow's share of the queue to
// QueueLimit/flowShareDivisor. Above it, the flow's requests may be evicted in
// favor of other flows.
const flowShareDivisor = 4

// running is a request at the target.
type running struct {
	id        uint64
	flow      Flow
	startedAt clock.Time
}

// Queue is the admission state machine of one target. It is not safe for
// concurrent use.
type Queue struct {
	cfg     Config
	limit   limit
	running []running
	waiting deadlineQueue
	closed  bool

	effects Effects
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	q := &Queue{cfg: cfg.withDefaults()}
	q.limit = newLimit(&q.cfg)
	return q
}

// Step processes one event at the local time now.
func (q *Queue) Step(ev Event, now clock.Time) Effects {
	q.effects.Start = q.effects.Start[:0]
	q.effects.Refuse = q.effects.Refuse[:0]
	switch ev.Kind {
	case Arrive:
		q.arrive(ev.Item, now)
	case Finish:
		q.finish(ev, now)
	case Cancel:
		q.waiting.remove(ev.Item.ID)
	case Close:
		q.close()
	case Configure:
		q.configure(*ev.Config)
	}
	q.expire(now)
	q.start(now)
	return q.effects
}

// Load returns the numbers of running and queued requests and the concurrency
// limit.
func (q *Queue) Load() (running, waiting, limit int) {
	return len(q.running), q.waiting.len(), q.limit.current()
}

// Waiting reports whether any request is queued. Only then are Tick events
// needed.
func (q *Queue) Waiting() bool { return q.waiting.len() > 0 }

func (q *Queue) arrive(item Item, now clock.Time) {
	switch {
	case q.closed:
		q.refuse(item.ID, outcome.Draining, minRetryAfter)
	case !now.Before(item.Deadline):
		q.refuse(item.ID, outcome.DeadlineExceeded, 0)
	case len(q.running) < q.limit.current() && q.waiting.len() == 0:
		q.run(item, now)
	default:
		q.enqueue(item, now)
	}
}

// enqueue adds an item to the queue. If the queue is full or the expected wait
// too long, it refuses either the item or a queued one that it replaces.
func (q *Queue) enqueue(item Item, now clock.Time) {
	expected := q.expectedWait(now)
	tooLong := expected > q.cfg.MaxWait || now.Add(expected) > item.Deadline
	full := q.waiting.len() >= q.cfg.QueueLimit
	if !tooLong && !full {
		q.waiting.add(item)
		return
	}
	victim := q.victim(item)
	if victim < 0 {
		q.refuseOverloaded(item.ID, now)
		return
	}
	q.refuseOverloaded(q.waiting.removeAt(victim).ID, now)
	q.waiting.add(item)
}

// victim returns the index of the queued item to evict in favor of item, or -1.
// It prefers an item of lower priority, then one of a flow that exceeds its
// share of the queue.
func (q *Queue) victim(item Item) int {
	lowest := item.Priority
	for i := range q.waiting.items {
		lowest = min(lowest, q.waiting.items[i].Priority)
	}
	if lowest < item.Priority {
		return q.waiting.lastIndexFunc(func(x *Item) bool { return x.Priority == lowest })
	}
	flow, most := q.waiting.largestFlow()
	if flow == item.Flow || most <= max(q.cfg.QueueLimit/flowShareDivisor, q.waiting.countFlow(item.Flow)+1) {
		return -1
	}
	return q.waiting.lastIndexFunc(func(x *Item) bool { return x.Flow == flow && x.Priority <= item.Priority })
}

func (q *Queue) finish(ev Event, now clock.Time) {
	for i := range q.running {
		if q.running[i].id != ev.Item.ID {
			continue
		}
		last := len(q.running) - 1
		q.running[i] = q.running[last]
		q.running = q.running[:last]
		q.limit.finished(ev.Completion, ev.Duration, now)
		return
	}
}

func (q *Queue) close() {
	q.closed = true
	for q.waiting.len() > 0 {
		q.refuse(q.waiting.removeAt(0).ID, outcome.Draining, minRetryAfter)
	}
}

func (q *Queue) configure(cfg Config) {
	grown := cfg.Slots > q.cfg.Slots
	q.cfg = cfg.withDefaults()
	if grown {
		q.limit.value = float64(q.cfg.Slots)
	}
	q.limit.setClamped(q.limit.value)
}

func (q *Queue) expire(now clock.Time) {
	for {
		item, ok := q.waiting.removeExpired(now)
		if !ok {
			return
		}
		q.refuse(item.ID, outcome.DeadlineExceeded, 0)
	}
}

// start runs queued requests up to the limit.
func (q *Queue) start(now clock.Time) {
	for q.waiting.len() > 0 && len(q.running) < q.limit.current() {
		q.run(q.waiting.removeAt(q.nextIndex()), now)
	}
}

// nextIndex returns the index of the queued item to run next: the one with the
// earliest deadline among the flows with the fewest running requests.
func (q *Queue) nextIndex() int {
	best, fewest := 0, -1
	for i := range q.waiting.items {
		n := q.countRunning(q.waiting.items[i].Flow)
		if fewest < 0 || n < fewest {
			best, fewest = i, n
		}
	}
	return best
}

func (q *Queue) countRunning(f Flow) int {
	n := 0
	for i := range q.running {
		if q.running[i].flow == f {
			n++
		}
	}
	return n
}

func (q *Queue) run(item Item, now clock.Time) {
	q.running = append(q.running, running{id: item.ID, flow: item.Flow, startedAt: now})
	if len(q.running) >= q.limit.current() {
		q.limit.reached = true
	}
	q.effects.Start = append(q.effects.Start, item.ID)
}

// expectedWait estimates the time until a request that is queued now would run.
// Where even the most recently started request has run for longer than the mean
// processing time, its run time is used instead, so that a hung target is
// noticed before any request completes.
func (q *Queue) expectedWait(now clock.Time) time.Duration {
	perRequest := q.limit.meanTime()
	if len(q.running) > 0 {
		perRequest = max(perRequest, q.shortestRunTime(now))
	}
	return perRequest * time.Duration(q.waiting.len()+1) / time.Duration(max(q.limit.current(), 1))
}

// shortestRunTime returns the run time so far of the most recently started
// request. At least one request must be running.
func (q *Queue) shortestRunTime(now clock.Time) time.Duration {
	age := now.Sub(q.running[0].startedAt)
	for i := range q.running[1:] {
		age = min(age, now.Sub(q.running[i+1].startedAt))
	}
	return age
}

func (q *Queue) refuseOverloaded(id uint64, now clock.Time) {
	q.refuse(id, outcome.Overloaded, max(q.expectedWait(now), minRetryAfter))
}

func (q *Queue) refuse(id uint64, reason outcome.Reason, retryAfter time.Duration) {
	q.effects.Refuse = append(q.effects.Refuse, Refusal{ID: id, Reason: reason, RetryAfter: retryAfter})
}

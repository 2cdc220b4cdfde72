package admission

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/outcome"
)

// minRetryAfter is the shortest time after which a refused request is asked
// to come back.
const minRetryAfter = 50 * time.Millisecond

// flowShare is the share of the queue, one in flowShare, above which a flow's
// requests give way to those of other flows.
const flowShare = 4

// running is a request at the target.
type running struct {
	id    uint64
	flow  Flow
	since clock.Time
}

// Queue is the state machine of one target.
type Queue struct {
	cfg     Config
	limit   limit
	running []running
	waiting waiting
	closed  bool

	effects Effects
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	q := &Queue{cfg: cfg.withDefaults()}
	q.limit = newLimit(&q.cfg)
	return q
}

// Step handles one event at the local time now.
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

// Load returns the numbers of requests that run and wait, and the limit.
func (q *Queue) Load() (running, waiting, limit int) {
	return len(q.running), q.waiting.len(), q.limit.current()
}

// Waiting reports whether any request waits, so that ticks matter.
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
		q.wait(item, now)
	}
}

// wait takes an item into the queue, or refuses it or one that it displaces.
func (q *Queue) wait(item Item, now clock.Time) {
	expected := q.expectedWait(now)
	tooLong := expected > q.cfg.MaxWait || now.Add(expected) > item.Deadline
	full := q.waiting.len() >= q.cfg.QueueLimit
	if !tooLong && !full {
		q.waiting.add(item)
		return
	}
	victim := q.victim(item)
	if victim < 0 {
		q.overloaded(item.ID, now)
		return
	}
	q.overloaded(q.waiting.removeAt(victim).ID, now)
	q.waiting.add(item)
}

// victim returns the index of the waiting item that gives way to item, or -1:
// one of lower priority, or else one of a flow that has more than its share.
func (q *Queue) victim(item Item) int {
	lowest := item.Priority
	for i := range q.waiting.items {
		lowest = min(lowest, q.waiting.items[i].Priority)
	}
	if lowest < item.Priority {
		return q.waiting.last(func(x *Item) bool { return x.Priority == lowest })
	}
	flow, most := q.waiting.largestFlow()
	if flow == item.Flow || most <= max(q.cfg.QueueLimit/flowShare, q.waiting.ofFlow(item.Flow)+1) {
		return -1
	}
	return q.waiting.last(func(x *Item) bool { return x.Flow == flow && x.Priority <= item.Priority })
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
	q.limit.set(q.limit.value)
}

func (q *Queue) expire(now clock.Time) {
	for {
		item, ok := q.waiting.expired(now)
		if !ok {
			return
		}
		q.refuse(item.ID, outcome.DeadlineExceeded, 0)
	}
}

// start runs waiting requests while the limit allows.
func (q *Queue) start(now clock.Time) {
	for q.waiting.len() > 0 && len(q.running) < q.limit.current() {
		q.run(q.waiting.removeAt(q.next()), now)
	}
}

// next returns the index of the waiting item to run: the first by deadline of
// the flows with the fewest running requests.
func (q *Queue) next() int {
	best, fewest := 0, -1
	for i := range q.waiting.items {
		n := q.runningOf(q.waiting.items[i].Flow)
		if fewest < 0 || n < fewest {
			best, fewest = i, n
		}
	}
	return best
}

func (q *Queue) runningOf(f Flow) int {
	n := 0
	for i := range q.running {
		if q.running[i].flow == f {
			n++
		}
	}
	return n
}

func (q *Queue) run(item Item, now clock.Time) {
	q.running = append(q.running, running{id: item.ID, flow: item.Flow, since: now})
	if len(q.running) >= q.limit.current() {
		q.limit.full = true
	}
	q.effects.Start = append(q.effects.Start, item.ID)
}

// expectedWait estimates the time until a request that joins the queue now
// would run. A target that has ended nothing for long counts as that slow.
func (q *Queue) expectedWait(now clock.Time) time.Duration {
	took := q.limit.meanTime()
	if len(q.running) > 0 {
		took = max(took, q.youngest(now))
	}
	return took * time.Duration(q.waiting.len()+1) / time.Duration(max(q.limit.current(), 1))
}

// youngest returns the time that the request started last has run for.
func (q *Queue) youngest(now clock.Time) time.Duration {
	age := now.Sub(q.running[0].since)
	for i := range q.running[1:] {
		age = min(age, now.Sub(q.running[i+1].since))
	}
	return age
}

func (q *Queue) overloaded(id uint64, now clock.Time) {
	q.refuse(id, outcome.Overloaded, max(q.expectedWait(now), minRetryAfter))
}

func (q *Queue) refuse(id uint64, reason outcome.Reason, retryAfter time.Duration) {
	q.effects.Refuse = append(q.effects.Refuse, Refusal{ID: id, Reason: reason, RetryAfter: retryAfter})
}

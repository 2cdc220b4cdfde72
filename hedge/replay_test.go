package hedge

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// replay serves requests at simulated targets, with the decisions of one policy for each
// entry. It has its own time and no network.
type replay struct {
	now     clock.Time
	rand    *rand.Rand
	events  events
	targets []*simTarget
	entries []*Policy // nil elements send no copies
	// canceledCounts is set if the daemons of the targets count the times of requests that were
	// canceled after more than the usual time.
	canceledCounts bool
	took           []time.Duration
	result         replayResult
}

type replayResult struct {
	requests, sent, won, refused int // refused because of the limit
	unanswered                   int
	p50, p99, p999               time.Duration
}

// simTarget runs requests in slots, and queues those beyond them.
type simTarget struct {
	slots   int
	running []*simCopy
	waiting []*simCopy
	work    float64 // mean time of requests as its daemon has measured it, in units of simWork
	// slowdown multiplies the times of requests that start at a time; 0 means that the response
	// is lost.
	slowdown func(at clock.Time) float64
}

type simRequest struct {
	entry    *Policy
	sent     clock.Time
	answered bool
	copies   []*simCopy
}

// simCopy is a request at one target.
type simCopy struct {
	request *simRequest
	target  *simTarget
	started clock.Time // Never while it waits
	ended   bool
}

const (
	simRoute    = "r"
	simDeadline = 2 * time.Second
	simWork     = 60 * time.Millisecond // mean time at a target of usual speed
)

// run sends rate requests a second for a time and returns what became of them.
func (r *replay) run(rate float64, period time.Duration) replayResult {
	end := r.now.Add(period)
	var arrive func()
	arrive = func() {
		if !r.now.Before(end) {
			return
		}
		r.request(r.entries[r.rand.IntN(len(r.entries))])
		r.after(time.Duration(r.rand.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	arrive()
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	slices.Sort(r.took)
	at := func(q float64) time.Duration { return r.took[int(q*float64(len(r.took)-1))] }
	r.result.p50, r.result.p99, r.result.p999 = at(0.5), at(0.99), at(0.999)
	return r.result
}

func (r *replay) request(entry *Policy) {
	r.result.requests++
	q := &simRequest{entry: entry, sent: r.now}
	r.after(simDeadline, func() { r.giveUp(q) })
	if entry == nil {
		r.place(q, r.choose(nil, false))
		return
	}
	entry.CountRequest()
	delay, refusal := entry.Delay(&Request{Route: simRoute, Idempotent: true, AttemptsLeft: 2, Left: simDeadline})
	first := r.choose(nil, false)
	r.place(q, first)
	if refusal != None {
		return
	}
	r.after(delay, func() {
		if q.answered {
			return
		}
		t := r.choose(first, true)
		switch entry.Admit(State{Route: simRoute, Left: simDeadline - r.now.Sub(q.sent), Spare: t != nil}) {
		case None:
			r.result.sent++
			r.place(q, t)
		case Limit:
			r.result.refused++
		}
	})
}

// choose returns the target of three random ones that is expected to respond first, without
// one; with spare, only one that has free slots. Two of a hundred requests measure a target
// whatever its time was, as in package placement.
func (r *replay) choose(other *simTarget, spare bool) *simTarget {
	probe := r.rand.Float64() < 0.02
	var best *simTarget
	for range 3 {
		t := r.targets[r.rand.IntN(len(r.targets))]
		if t == other || spare && !Spare(t.inFlight(), t.slots) {
			continue
		}
		if best == nil || t.cost() < best.cost() {
			best = t
		}
		if probe {
			break
		}
	}
	if best == nil && !spare {
		return r.targets[r.rand.IntN(len(r.targets))]
	}
	return best
}

func (t *simTarget) inFlight() int { return len(t.running) + len(t.waiting) }

func (t *simTarget) cost() float64 {
	return max(t.work, 0.1) * (1 + 0.35*float64(t.inFlight())/float64(t.slots) + float64(max(t.inFlight()+1-t.slots, 0))/float64(t.slots))
}

// measure records the time of a request that has ended at the target.
func (t *simTarget) measure(took time.Duration) {
	t.work += 0.05 * (took.Seconds()/simWork.Seconds() - t.work)
}

func (r *replay) place(q *simRequest, t *simTarget) {
	c := &simCopy{request: q, target: t}
	q.copies = append(q.copies, c)
	t.waiting = append(t.waiting, c)
	r.start(t)
}

func (r *replay) start(t *simTarget) {
	for len(t.running) < t.slots && len(t.waiting) > 0 {
		c := t.waiting[0]
		t.waiting = t.waiting[1:]
		t.running = append(t.running, c)
		c.started = r.now
		slowdown := t.slowdown(r.now)
		if slowdown == 0 {
			continue // it holds its slot until it is canceled
		}
		work := slowdown * float64(simWork) * (0.6 + 0.8*r.rand.Float64())
		r.after(time.Duration(work), func() { r.respond(c) })
	}
}

func (r *replay) respond(c *simCopy) {
	q := c.request
	if c.ended || q.answered {
		return
	}
	if len(q.copies) > 1 && c == q.copies[1] {
		r.result.won++
	}
	c.target.measure(r.now.Sub(c.started))
	c.started = clock.Never
	r.finish(q, c == q.copies[len(q.copies)-1])
}

func (r *replay) giveUp(q *simRequest) {
	if !q.answered {
		r.result.unanswered++
		r.finish(q, false)
	}
}

// finish ends a request and its copies; last tells whether the last copy was answered first.
func (r *replay) finish(q *simRequest, last bool) {
	q.answered = true
	took := r.now.Sub(q.sent)
	r.took = append(r.took, took)
	if q.entry != nil {
		q.entry.Observe(simRoute, took, r.now)
		if len(q.copies) > 1 {
			q.entry.ObserveCopy(simRoute, last)
		}
	}
	for _, c := range q.copies {
		c.ended = true
		if c.started != clock.Never && r.canceledCounts {
			if took := r.now.Sub(c.started); took.Seconds() > c.target.work*simWork.Seconds() {
				c.target.measure(took)
			}
		}
		same := func(x *simCopy) bool { return x == c }
		c.target.running = slices.DeleteFunc(c.target.running, same)
		c.target.waiting = slices.DeleteFunc(c.target.waiting, same)
		r.start(c.target)
	}
}

func (r *replay) after(d time.Duration, do func()) { heap.Push(&r.events, event{r.now.Add(d), do}) }

type event struct {
	at clock.Time
	do func()
}

// events is a heap.Interface, with the earliest event first.
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

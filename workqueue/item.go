package workqueue

import (
	"math/bits"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// Item is one request.
type Item struct {
	ID        uint64
	Class     string // requests of one class have similar service times
	Priority  uint8  // larger values are more urgent
	Arrived   clock.Time
	Objective clock.Time // time by which the response should be complete
	Deadline  clock.Time // time after which the caller no longer waits
	Link      Link
	Exclusive bool // it may start while the queue is held
	Movable   bool // another target may run it if this one refuses it
	// Call is set for a call that a run makes which holds a slot at another target. It has the
	// priority of that run, and is refused last of its priority.
	Call bool
}

// Link is the state of the link that carries an item's response when the item arrives.
// It is zero for a response that crosses no link, or one of unknown rate.
type Link struct {
	BytesPerSecond float64
	Backlog        time.Duration // time in which the link sends the responses that are ready
}

// before reports whether x should run before y. Calls of runs, which occupy a slot
// meanwhile, run before other requests of the same priority, and so do most calls of
// unknown runs, because they have short objectives.
func (x *Item) before(y *Item) bool {
	if x.Priority != y.Priority {
		return x.Priority > y.Priority
	}
	if x.Call != y.Call {
		return x.Call
	}
	if x.Objective != y.Objective {
		return x.Objective.Before(y.Objective)
	}
	return x.ID < y.ID
}

// urgency orders the requests for which slots are reserved: by priority, and within one
// priority calls of runs first, and then by the length of their objectives, in steps of four
// times the length. Targets send requests with short objectives while they occupy a slot
// themselves.
type urgency uint16

const (
	// objectiveSteps is the number of steps of one priority, without the one of calls.
	objectiveSteps = 16
	urgencySteps   = objectiveSteps + 1
	// stepBits is the binary logarithm of the ratio between two steps.
	stepBits = 2
)

func (x *Item) urgency() urgency {
	if x.Call {
		return urgency(x.Priority)*urgencySteps + objectiveSteps
	}
	step := objectiveSteps - 1 // no objective
	if length := x.Objective.Sub(x.Arrived); length > 0 {
		step = min(bits.Len64(uint64(length/time.Millisecond))/stepBits, objectiveSteps-1)
	}
	return urgency(x.Priority)*urgencySteps + urgency(objectiveSteps-1-step)
}

// Verdict is the admission decision for an arriving item.
type Verdict uint8

const (
	// Start means that the item must be sent to the target now.
	Start Verdict = 1
	// Wait means that the item was added to the queue.
	Wait Verdict = 2
	// Refuse means that the item must not be run.
	Refuse Verdict = 3
)

// Refusal is an item that will not run and the delay before a retry.
type Refusal struct {
	ID         uint64
	RetryAfter time.Duration
	Late       bool // the item cannot meet its deadline
	// RateLimited is set if the rate limit of the target is why the item would wait too long.
	RateLimited bool
	// Slow is set if the target's stated speed at this moment is why the item would miss its
	// objective.
	Slow bool
}

// Completion says how an item that was started ended.
type Completion uint8

const (
	// Answered means that a complete response of any status was received.
	Answered Completion = 1
	// Shed means that the target refused the request without running it.
	Shed Completion = 2
	// Failed means that no complete response was received.
	Failed Completion = 3
	// NotSent means that the request was abandoned before it was sent.
	NotSent Completion = 4
	// Canceled means that the caller canceled the request while it ran.
	Canceled Completion = 5
	// Replaced is Canceled where slow requests get a second copy at another target. If it ran for
	// longer than the mean time of its class, that time counts: otherwise a slow target whose
	// requests are answered elsewhere would seem to be as quick as the others.
	Replaced Completion = 6
)

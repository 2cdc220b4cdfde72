package workqueue

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// Item is one request.
type Item struct {
	ID        uint64
	Class     string // requests of one class take about as long as each other
	Priority  uint8  // larger values are more urgent
	Arrived   clock.Time
	Objective clock.Time // when the answer loses some of its worth
	Deadline  clock.Time // when nobody waits any more
}

// before reports whether x is to run before y. Calls that targets make while
// they hold a slot elsewhere have short objectives, so they go before the
// requests of their priority.
func (x *Item) before(y *Item) bool {
	if x.Priority != y.Priority {
		return x.Priority > y.Priority
	}
	if x.Objective != y.Objective {
		return x.Objective.Before(y.Objective)
	}
	return x.ID < y.ID
}

// Verdict is the decision on an arriving item.
type Verdict uint8

const (
	// Start means that the item is to be sent to the target now.
	Start Verdict = 1
	// Wait means that the item waits.
	Wait Verdict = 2
	// Refuse means that the item is not run.
	Refuse Verdict = 3
)

// Refusal is an item that will not run, and when one like it may come back.
type Refusal struct {
	ID         uint64
	RetryAfter time.Duration
	Late       bool // its deadline can't be met any more
}

// Ending says how the target ended an item.
type Ending uint8

const (
	// Answered means a whole answer of any status.
	Answered Ending = 1
	// Shed means that the target itself refused the request.
	Shed Ending = 2
	// Failed means that no whole answer came.
	Failed Ending = 3
	// NotSent means that the request was given up before it was sent.
	NotSent Ending = 4
	// Left means that the caller left while it ran.
	Left Ending = 5
)

package admission

import "time"

// EventKind says what an Event reports.
type EventKind uint8

const (
	// Arrive reports a new request, Event.Item.
	Arrive EventKind = 1
	// Finish reports that the target has ended request Event.Item.ID.
	Finish EventKind = 2
	// Cancel reports that nobody waits for request Event.Item.ID any more. A
	// request that runs goes on to count until Finish.
	Cancel EventKind = 3
	// Tick lets time pass, so that waiting requests past their deadline are
	// refused.
	Tick EventKind = 4
	// Close refuses all waiting requests and all that arrive from now on.
	Close EventKind = 5
	// Configure replaces the parameters by Event.Config.
	Configure EventKind = 6
)

// Completion says how the target ended a request.
type Completion uint8

const (
	// Answered means a whole answer.
	Answered Completion = 1
	// Shed means that the target refused the request.
	Shed Completion = 2
	// Failed means that no whole answer came.
	Failed Completion = 3
	// NotSent means that the request was given up before it was sent.
	NotSent Completion = 4
)

// Event is an input of the Queue.
type Event struct {
	Kind       EventKind
	Item       Item          // whole with Arrive; only ID with Finish and Leave
	Duration   time.Duration // with Finish: time at the target
	Completion Completion    // with Finish
	Config     *Config       // with Configure
}

// Effects is what the driver carries out after a Step. The slices are valid
// until the next Step.
type Effects struct {
	Start  []uint64 // requests to send to the target now
	Refuse []Refusal
}

package admission

import "time"

// EventKind is the type of an Event.
type EventKind uint8

const (
	// Arrive reports a new request, Event.Item.
	Arrive EventKind = 1
	// Finish reports the completion of request Event.Item.ID at the target.
	Finish EventKind = 2
	// Cancel reports that the caller of request Event.Item.ID canceled it. The
	// request is removed from the queue; if it is already running, it counts
	// against the limit until Finish.
	Cancel EventKind = 3
	// Tick advances the time, so that queued requests past their deadline are
	// refused.
	Tick EventKind = 4
	// Close refuses all queued requests and all later arrivals.
	Close EventKind = 5
	// Configure replaces the parameters with Event.Config.
	Configure EventKind = 6
)

// Completion is the way in which a request to the target completed.
type Completion uint8

const (
	// Answered means that a complete response was received.
	Answered Completion = 1
	// Shed means that the target refused the request to reduce its load.
	Shed Completion = 2
	// Failed means that no complete response was received.
	Failed Completion = 3
	// NotSent means that the request was abandoned before it was sent.
	NotSent Completion = 4
)

// Event is an input of the Queue.
type Event struct {
	Kind       EventKind
	Item       Item          // Arrive: all fields; Finish and Cancel: only ID
	Duration   time.Duration // Finish: processing time at the target
	Completion Completion    // Finish
	Config     *Config       // Configure
}

// Effects lists the actions that the caller must carry out after a Step. The
// slices are valid until the next Step.
type Effects struct {
	Start  []uint64  // IDs of requests to send to the target now
	Refuse []Refusal // requests to answer with a refusal
}

package dispatch_test

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/dispatch"
	"github.com/parsleystack/parsleystack/outcome"
)

// A request that may not be repeated is answered as unknown once it may have
// run.
func ExampleRequest() {
	now := clock.Time(1)
	request := dispatch.Request{Rule: dispatch.Rule{Keyed: true, Deadline: now.Add(time.Second)}}
	action := request.Step(dispatch.Event{Kind: dispatch.Arrived}, now)
	fmt.Println(action.Kind == dispatch.Send)
	action = request.Step(dispatch.Event{Kind: dispatch.PeerFailed, Sent: true}, now)
	fmt.Println(action.Kind == dispatch.Finish, action.Result.Kind)
	// Output:
	// true
	// true unknown
}

// If the hold queue is full, the request with the most time left gives way.
func ExampleHoldQueue() {
	now := clock.Time(1)
	queue := dispatch.NewHoldQueue(1)
	queue.Add(dispatch.Held{ID: 1, Deadline: now.Add(time.Second)})
	refused, full := queue.Add(dispatch.Held{ID: 2, Deadline: now.Add(time.Millisecond)})
	fmt.Println(refused.ID, full, outcome.NotRun)
	// Output:
	// 1 true not-run
}

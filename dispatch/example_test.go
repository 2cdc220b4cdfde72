package dispatch_test

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/dispatch"
	"github.com/parsleystack/parsleystack/outcome"
)

// A booking whose owner is lost after its bytes were sent is not sent again.
func Example() {
	now := clock.Time(0)
	r := dispatch.Request{Constraints: dispatch.Constraints{Keyed: true, Deadline: now.Add(time.Second)}}
	action := r.Step(dispatch.Event{Kind: dispatch.Arrived}, now)
	fmt.Println(action.Kind == dispatch.Send)
	action = r.Step(dispatch.Event{Kind: dispatch.PeerFailed, Sent: true}, now)
	fmt.Println(action.Kind == dispatch.Finish, action.Result.Kind == outcome.Unknown)
	// Output:
	// true
	// true true
}

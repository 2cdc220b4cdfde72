package outcome_test

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/outcome"
)

// A refusal states its reason and the shortest useful delay before a retry.
func Example() {
	refused := outcome.Result{Kind: outcome.NotRun, Reason: outcome.Overloaded, RetryAfter: 200 * time.Millisecond}
	fmt.Println(refused.Kind, refused.Reason, refused.RetryAfter)
	lost := outcome.Result{Kind: outcome.Unknown, Reason: outcome.ConnectionLost}
	fmt.Println(lost.Kind, lost.Reason)
	// Output:
	// not-run overloaded 200ms
	// unknown connection-lost
}

package bench_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/bench"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/standin/target"
)

// A booking was answered not-run, but a target ran it.
func ExampleVerify() {
	violations := bench.Verify(bench.History{
		Outcomes: []bench.RequestOutcome{{ID: "r1", Op: "booking", Class: bench.Class{Kind: outcome.NotRun, Reason: "draining"}}},
		Runs:     []target.Run{{ID: "r1", IdempotencyKey: "r1", Method: "POST", Path: "/bookings/house-7", Target: "bookings-2"}},
	})
	for _, v := range violations {
		fmt.Println(v)
	}
	// Output: not-run-that-ran r1: booking was answered not-run (draining) but ran at bookings-2
}

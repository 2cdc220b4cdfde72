package bench_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/bench"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/standin/target"
)

// The judge sets what callers were told against what targets ran.
func ExampleJudge() {
	violations := bench.Judge(bench.Evidence{
		Fates: []bench.Fate{
			{ID: "r1", Op: "deposit", Class: bench.Class{Kind: outcome.Done}},
			{ID: "r2", Op: "deposit", Class: bench.Class{Kind: outcome.NotRun, Reason: "overloaded"}},
		},
		Runs: []target.Run{
			{ID: "r1", Method: "POST", Completed: true},
			{ID: "r2", Method: "POST", Completed: true},
		},
		Complete: true,
	})
	for _, v := range violations {
		fmt.Println(v.Kind, v.ID)
	}
	// Output:
	// not-run-that-ran r2
}

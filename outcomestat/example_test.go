package outcomestat_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/outcomestat"
)

func Example() {
	var counts outcomestat.Counts
	counts.Add(outcome.Result{Kind: outcome.Done})
	counts.Add(outcome.Result{Kind: outcome.NotRun, Reason: outcome.Overloaded})
	fmt.Println(counts.Done(), counts.NotRun(outcome.Overloaded))
	// Output: 1 1
}

package faultplan_test

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/faultplan"
)

// Equal seeds generate equal plans.
func Example() {
	cfg := faultplan.Defaults()
	cfg.Duration = time.Minute
	cfg.Deployments = []faultplan.Deployment{{
		Name:  "perizia",
		Cells: []faultplan.Cell{{Service: "reports", Instances: []string{"reports-1", "reports-2", "reports-3"}}},
	}}
	first, second := faultplan.Generate(cfg), faultplan.Generate(cfg)
	equal := len(first) == len(second)
	for i := range first {
		equal = equal && first[i].String() == second[i].String()
	}
	fmt.Println(len(first) > 0, equal)
	// Output: true true
}

package faultplan_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/parsleystack/parsleystack/faultplan"
)

// A plan follows from its seed and is text that is read back.
func ExampleGenerate() {
	cfg := faultplan.Defaults()
	cfg.Seed = 1
	cfg.Duration = 2 * time.Minute
	cell := faultplan.Cell{Service: "reports", Instances: []string{"reports-1", "reports-2", "reports-3"}}
	cfg.Deployments = []faultplan.Deployment{{Name: "perizia", Cells: []faultplan.Cell{cell}}}

	plan := faultplan.Generate(cfg)
	var text strings.Builder
	for _, action := range plan {
		fmt.Fprintln(&text, action)
	}
	again, err := faultplan.Parse(strings.NewReader(text.String()))
	fmt.Println(err, len(plan) > 0, len(again) == len(plan))
	// Output:
	// <nil> true true
}

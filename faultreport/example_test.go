package faultreport_test

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/faultreport"
)

// A daemon that goes back to an older configuration breaks a promise.
func ExampleNew() {
	start := time.Unix(1000, 0)
	report := faultreport.New(&faultreport.Input{
		Name:   "perizia",
		Start:  start,
		Length: time.Minute,
		Configured: []faultreport.ConfigChange{
			{Daemon: "reports-1", Offset: 5},
			{Daemon: "reports-1", Offset: 4},
		},
	}, "reports")
	for _, v := range report.Violations {
		fmt.Println(v.Kind)
	}
	// Output:
	// config-reverted
}

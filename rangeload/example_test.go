package rangeload_test

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/rangeload"
)

func Example() {
	var recorder rangeload.Recorder
	ranges := keyspace.Divide(2)
	for range 50 {
		recorder.Observe(ranges[1].First)
	}
	for _, load := range recorder.Measure(ranges, 10*time.Second) {
		fmt.Println(load.Rate, load.HotRate)
	}
	// Output:
	// 0 0
	// 5 5
}

package cost_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/measure"
	"github.com/parsleystack/parsleystack/measure/cost"
)

func ExampleConfig() {
	series, err := cost.Config(measure.Facts{Commit: "example"})
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, s := range series {
		if len(s.Sizes()) < measure.MinSizes {
			fmt.Println(s.Name, "has too few sizes")
		}
	}
	fmt.Println(series[0].Facts.Commit)
	// Output:
	// example
}

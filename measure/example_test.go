package measure_test

import (
	"errors"
	"fmt"

	"github.com/parsleystack/parsleystack/measure"
)

// A line needs at least four sizes.
func Example() {
	series := measure.Series{Name: "renewal", Quantity: "bytes of a renewal", Unit: "B"}
	for _, size := range []float64{1, 2, 4} {
		series.Add(size, 100+50*size)
	}
	_, err := series.Fit()
	var few *measure.FewSizesError
	fmt.Println(errors.As(err, &few))

	series.Add(8, 500)
	line, err := series.Fit()
	fmt.Printf("%v %.0f B and %.0f B for one more\n", err, line.Intercept, line.Slope)
	fmt.Printf("%.0f B at 16, extrapolated: %v\n", line.At(16), line.Extrapolates(16))
	// Output:
	// true
	// <nil> 100 B and 50 B for one more
	// 900 B at 16, extrapolated: true
}

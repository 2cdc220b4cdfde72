package measure_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/measure"
)

func Example() {
	s := measure.Series{Name: "lease-renewal-bytes", Quantity: "bytes of a renewal, by ranges", Unit: "B"}
	for _, ranges := range []float64{1, 2, 4, 8} {
		s.Add(ranges, 40+8*ranges)
	}
	line, err := s.Fit()
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Printf("%.0f B + %.0f B a range, at 16 ranges %.0f B\n", line.Intercept, line.Slope, line.At(16))
	// Output: 40 B + 8 B a range, at 16 ranges 168 B
}

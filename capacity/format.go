package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// significantDigits is the precision of the figures on the page.
const significantDigits = 3

// number formats a figure with three significant digits, and uses an
// exponent only below a thousandth and from ten million on.
func number(f float64) string {
	a := math.Abs(f)
	if a != 0 && (a < 1e-3 || a >= 1e7) {
		return strconv.FormatFloat(f, 'g', significantDigits, 64)
	}
	decimals := 0
	if a != 0 {
		decimals = max(0, significantDigits-1-int(math.Floor(math.Log10(a))))
	}
	s := strconv.FormatFloat(f, 'f', decimals, 64)
	if strings.Contains(s, ".") {
		s = strings.TrimRight(strings.TrimRight(s, "0"), ".")
	}
	return s
}

// quantity formats a value in the unit of a budget, cores as percent and bytes as
// megabytes.
func quantity(v float64, unit string) string {
	switch unit {
	case unitCore:
		return fmt.Sprintf("%s%% of a core", number(100*v))
	case unitBytes:
		return number(v/1e6) + " MB"
	case unitBytesPerSecond:
		return number(v) + " B/s"
	case unitPerSecond:
		return number(v) + "/s"
	}
	return number(v) + " " + unit
}

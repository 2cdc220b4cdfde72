package capacity

import "fmt"

// Units of budgets.
const (
	unitCore           = "core"
	unitBytes          = "B"
	unitBytesPerSecond = "B/s"
	unitSeconds        = "s"
	unitPerSecond      = "1/s"
)

func (b *Budget) isRate() bool {
	return b.Unit == unitCore || b.Unit == unitBytesPerSecond || b.Unit == unitPerSecond
}

// secondsOf are the units of time of series.
var secondsOf = map[string]float64{"ns": 1e-9, "us": 1e-6, "ms": 1e-3, "s": 1}

// unitCount is the unit of series that count things.
const unitCount = "1"

// factor converts a value of a series into the budget's unit, or into that
// unit for one event if the budget is a rate.
func (b *Budget) factor(seriesUnit string) (float64, error) {
	switch b.Unit {
	case unitCore, unitSeconds:
		if f, ok := secondsOf[seriesUnit]; ok {
			return f, nil
		}
	case unitBytes, unitBytesPerSecond:
		if seriesUnit == unitBytes {
			return 1, nil
		}
	case unitPerSecond:
		if seriesUnit == unitCount {
			return 1, nil
		}
	}
	return 0, fmt.Errorf("a series in %q cannot count against %s, whose unit is %q", seriesUnit, b.Resource, b.Unit)
}

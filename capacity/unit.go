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

// secondsPerUnit maps the time units of series to seconds.
var secondsPerUnit = map[string]float64{"ns": 1e-9, "us": 1e-6, "ms": 1e-3, "s": 1}

// unitCount is the unit of series of counts.
const unitCount = "1"

// factor returns the factor that converts a value of a series into the unit of the
// budget. For a budget that is a rate, the value is the need of one occurrence.
func (b *Budget) factor(seriesUnit string) (float64, error) {
	switch b.Unit {
	case unitCore, unitSeconds:
		if f, ok := secondsPerUnit[seriesUnit]; ok {
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
	return 0, fmt.Errorf("a series in %q cannot be converted to the unit of resource %s, %q", seriesUnit, b.Resource, b.Unit)
}

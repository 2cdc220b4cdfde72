package rangeload

import (
	"math"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/keyspace"
)

const (
	// minRelativeChange is the minimum change of a range's rate to be reported,
	// relative to its last reported rate.
	minRelativeChange = 0.15
	// minTotalShare is the minimum change of a range's rate to be reported,
	// relative to the total rate of all ranges; smaller changes make no
	// difference to balancing.
	minTotalShare = 0.02
	// fullReportInterval is the number of reports of which one contains all
	// ranges, so that a lost report has no lasting effect.
	fullReportInterval = 6
)

// Reporter selects the range loads to report to the leader. It is not safe for
// concurrent use. The zero Reporter is ready for use.
type Reporter struct {
	last    map[keyspace.Range]cell.RangeLoad
	reports int
}

// Changes returns the loads that differ significantly from those last reported,
// and all loads in the first of every fullReportInterval reports.
func (r *Reporter) Changes(loads []cell.RangeLoad) []cell.RangeLoad {
	full := r.reports%fullReportInterval == 0
	r.reports++
	minChange := minTotalShare * totalRate(loads)
	next := make(map[keyspace.Range]cell.RangeLoad, len(loads))
	var changes []cell.RangeLoad
	for _, l := range loads {
		last, known := r.last[l.Range]
		if !full && known && !differs(last, l, minChange) {
			next[l.Range] = last
			continue
		}
		next[l.Range] = l
		changes = append(changes, l)
	}
	r.last = next
	return changes
}

func totalRate(loads []cell.RangeLoad) float64 {
	var sum float64
	for _, l := range loads {
		sum += l.Rate
	}
	return sum
}

func differs(a, b cell.RangeLoad, minChange float64) bool {
	return exceeds(a.Rate, b.Rate, minChange) || exceeds(hotRate(a, b), b.HotRate, minChange)
}

// hotRate returns the rate in a of the hot point of b, 0 if a has another hot
// point.
func hotRate(a, b cell.RangeLoad) float64 {
	if a.HotPoint != b.HotPoint {
		return 0
	}
	return a.HotRate
}

func exceeds(before, after, minChange float64) bool {
	return math.Abs(after-before) > max(minRelativeChange*before, minChange)
}

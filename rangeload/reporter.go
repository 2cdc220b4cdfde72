package rangeload

import (
	"math"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/keyspace"
)

const (
	// changeShare is the change of a range's rate, relative to the rate reported
	// last, from which on it is reported again.
	changeShare = 0.15
	// totalShare is the same relative to the rate of all ranges; smaller changes
	// make no difference to balancing.
	totalShare = 0.02
	// fullEvery is the number of reports after which all ranges are reported, so
	// that a lost report does no lasting harm.
	fullEvery = 6
)

// Reporter chooses what the leader is told. It is not safe for concurrent use.
type Reporter struct {
	last    map[keyspace.Range]cell.RangeLoad
	reports int
}

// Changes returns the loads that differ from what was reported before.
func (r *Reporter) Changes(loads []cell.RangeLoad) []cell.RangeLoad {
	full := r.reports%fullEvery == 0
	r.reports++
	least := totalShare * totalRate(loads)
	next := make(map[keyspace.Range]cell.RangeLoad, len(loads))
	var changes []cell.RangeLoad
	for _, l := range loads {
		last, known := r.last[l.Range]
		if !full && known && !differs(last, l, least) {
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

func differs(a, b cell.RangeLoad, least float64) bool {
	return exceeds(a.Rate, b.Rate, least) || exceeds(hotRate(a, b), b.HotRate, least)
}

// hotRate returns the rate that a gave for the hot point of b.
func hotRate(a, b cell.RangeLoad) float64 {
	if a.HotPoint != b.HotPoint {
		return 0
	}
	return a.HotRate
}

func exceeds(before, after, least float64) bool {
	return math.Abs(after-before) > max(changeShare*before, least)
}

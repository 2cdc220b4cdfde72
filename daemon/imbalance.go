package daemon

import (
	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
)

// imbalance measures how unevenly a cell's hash space is distributed over its
// members: the maximum over the mean, so that 1 is even.
type imbalance struct {
	ranges float64 // by the number of ranges
	keys   float64 // by the share of the hash space, which is the share of evenly distributed keys
}

// imbalanceOf returns the zero imbalance if there are no members or no ranges.
func imbalanceOf(members []cell.Member, assignments []cell.Grant) imbalance {
	ranges := make(map[ident.Node]float64, len(members))
	keys := make(map[ident.Node]float64, len(members))
	for _, g := range assignments {
		ranges[g.Owner]++
		keys[g.Owner] += float64(g.Range.Last-g.Range.First) + 1
	}
	return imbalance{ranges: maxOverMean(members, ranges), keys: maxOverMean(members, keys)}
}

func maxOverMean(members []cell.Member, held map[ident.Node]float64) float64 {
	var most, sum float64
	for _, m := range members {
		most = max(most, held[m.Node])
		sum += held[m.Node]
	}
	if sum == 0 {
		return 0
	}
	return most * float64(len(members)) / sum
}

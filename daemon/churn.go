package daemon

import (
	"sort"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/keyspace"
)

// churn counts ranges that change their owner, from the assignments that
// leader and deputy know.
type churn struct {
	known []cell.Grant // by Range.First; a range without owner keeps its last one
}

// step takes the newest assignments and returns the number of their ranges
// that have another owner than before. Splits and merges that keep the owner
// do not count, and neither does the first owner of a range.
func (c *churn) step(assignments []cell.Grant) int {
	next := make([]cell.Grant, len(assignments))
	changed := 0
	for i, g := range assignments {
		before, known := ownerAt(c.known, g.Range.First)
		switch {
		case g.Owner.IsZero():
			g.Owner = before.Owner
		case known && !before.Owner.IsZero() && before.Owner != g.Owner:
			changed++
		}
		next[i] = g
	}
	c.known = next
	return changed
}

// ownerAt returns the grant of grants that holds p.
func ownerAt(grants []cell.Grant, p keyspace.Point) (cell.Grant, bool) {
	i := sort.Search(len(grants), func(i int) bool { return grants[i].Range.Last >= p })
	if i == len(grants) || !grants[i].Range.Contains(p) {
		return cell.Grant{}, false
	}
	return grants[i], true
}

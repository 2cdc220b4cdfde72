package daemon

import (
	"sort"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/keyspace"
)

// churn counts ranges whose owner changes, from the assignments in the views of
// leader and deputy.
type churn struct {
	last []cell.Grant // sorted by Range.First; a range without owner keeps its previous owner
}

// step updates the state with the newest assignments and returns the number of
// ranges whose owner differs from the previous one. Splits and merges that keep
// the owner do not count, nor does the first owner of a range.
func (c *churn) step(assignments []cell.Grant) int {
	next := make([]cell.Grant, len(assignments))
	changed := 0
	for i, g := range assignments {
		before, known := ownerAt(c.last, g.Range.First)
		switch {
		case g.Owner.IsZero():
			g.Owner = before.Owner
		case known && !before.Owner.IsZero() && before.Owner != g.Owner:
			changed++
		}
		next[i] = g
	}
	c.last = next
	return changed
}

// ownerAt returns the grant whose range contains p.
func ownerAt(grants []cell.Grant, p keyspace.Point) (cell.Grant, bool) {
	i := sort.Search(len(grants), func(i int) bool { return grants[i].Range.Last >= p })
	if i == len(grants) || !grants[i].Range.Contains(p) {
		return cell.Grant{}, false
	}
	return grants[i], true
}

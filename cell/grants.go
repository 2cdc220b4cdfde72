package cell

import (
	"slices"

	"github.com/parsleystack/parsleystack/keyspace"
)

// covers reports whether the grants, in order, cover the span without gaps or overlaps.
func covers(grants []Grant, span keyspace.Range) bool {
	if len(grants) == 0 || grants[0].Range.First != span.First {
		return false
	}
	for i, g := range grants {
		if g.Range.First > g.Range.Last {
			return false
		}
		if i > 0 && (grants[i-1].Range.Last == keyspace.MaxPoint || g.Range.First != grants[i-1].Range.Last+1) {
			return false
		}
	}
	return grants[len(grants)-1].Range.Last == span.Last
}

// replaceGrants returns grants, with the changed grants replacing those that they
// overlap. The caller must check that the result still covers the span.
func replaceGrants(grants, changed []Grant) []Grant {
	out := make([]Grant, 0, len(grants)+len(changed))
	for _, g := range grants {
		if !overlapsAny(changed, g.Range) {
			out = append(out, g)
		}
	}
	out = append(out, changed...)
	slices.SortFunc(out, compareGrants)
	return out
}

// changedGrants returns the grants of next that are not in prev.
func changedGrants(prev, next []Grant) []Grant {
	var changed []Grant
	for _, g := range next {
		if !slices.Contains(prev, g) {
			changed = append(changed, g)
		}
	}
	return changed
}

func overlapsAny(grants []Grant, r keyspace.Range) bool {
	for _, g := range grants {
		if g.Range.Overlaps(r) {
			return true
		}
	}
	return false
}

// coversRange reports whether the grants, in order, cover all of the range.
func coversRange(grants []Grant, r keyspace.Range) bool {
	next := r.First
	for _, g := range grants {
		if g.Range.Last < next {
			continue
		}
		if g.Range.First > next {
			return false
		}
		if g.Range.Last >= r.Last {
			return true
		}
		next = g.Range.Last + 1
	}
	return false
}

func compareGrants(a, b Grant) int {
	switch {
	case a.Range.First < b.Range.First:
		return -1
	case a.Range.First > b.Range.First:
		return 1
	}
	return 0
}

// divideSpan divides the span into n unassigned ranges of nearly equal width.
func divideSpan(span keyspace.Range, n int) []Grant {
	width := uint64(span.Last-span.First)/uint64(n) + 1
	grants := make([]Grant, 0, n)
	first := span.First
	for i := 0; i < n; i++ {
		last := first + keyspace.Point(width-1)
		if i == n-1 || last < first || last >= span.Last {
			last = span.Last
		}
		grants = append(grants, Grant{Range: keyspace.Range{First: first, Last: last}})
		if last == span.Last {
			break
		}
		first = last + 1
	}
	return grants
}

package route

import (
	"slices"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
)

// Entry is the owner of a range according to the local routing table, which may
// be out of date.
type Entry struct {
	Range keyspace.Range
	Owner ident.Node
	Addr  string // address of the owner's daemon as IP:port
	Zone  ident.Zone
	Token cell.Token
}

// overlay merges e into entries: where ranges overlap, the entry with the newer
// token is kept. entries must be ordered by range and disjoint; so is the result.
func overlay(entries []Entry, e Entry) []Entry {
	parts := []Entry{e}
	next := make([]Entry, 0, len(entries)+2)
	for _, x := range entries {
		if !x.Range.Overlaps(e.Range) {
			next = append(next, x)
			continue
		}
		if e.Token.Less(x.Token) {
			parts = subtract(parts, x.Range)
			next = append(next, x)
			continue
		}
		next = append(next, subtract([]Entry{x}, e.Range)...)
	}
	next = append(next, parts...)
	sortEntries(next)
	return next
}

// subtract removes r from the range of each entry.
func subtract(entries []Entry, r keyspace.Range) []Entry {
	var out []Entry
	for _, e := range entries {
		if !e.Range.Overlaps(r) {
			out = append(out, e)
			continue
		}
		if e.Range.First < r.First {
			left := e
			left.Range.Last = r.First - 1
			out = append(out, left)
		}
		if e.Range.Last > r.Last {
			right := e
			right.Range.First = r.Last + 1
			out = append(out, right)
		}
	}
	return out
}

func sortEntries(entries []Entry) {
	slices.SortFunc(entries, func(a, b Entry) int {
		if a.Range.First < b.Range.First {
			return -1
		}
		return 1
	})
}

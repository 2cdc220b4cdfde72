package cell

import (
	"slices"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
)

// table is the leader's assignment of the span, with a number for each change.
type table struct {
	term      uint64
	seq       uint64 // newest change
	committed uint64 // newest change that is stored on two of leader, deputy and log
	entries   []entry
}

// entry is the assignment of one range.
type entry struct {
	grant Grant
	seq   uint64 // change that made it; 0 for the initial assignments of the term
	// replaced lists the grants of the same owner that a split or merge
	// replaces; they stay in force until the change is committed.
	replaced []Grant
}

func newTable(term uint64, grants []Grant) table {
	t := table{term: term}
	for _, g := range grants {
		t.entries = append(t.entries, entry{grant: g})
	}
	return t
}

// carryOver makes provisional assignments of the previous term, which the log
// does not contain, the first change of this term. They keep their tokens.
func (t *table) carryOver(grants []Grant) {
	old := t.grants()
	if slices.Equal(old, grants) {
		return
	}
	t.seq++
	t.entries = t.entries[:0]
	for _, g := range grants {
		e := entry{grant: g}
		if !slices.Contains(old, g) {
			e.seq = t.seq
		}
		t.entries = append(t.entries, e)
	}
}

// change adds the entries as the next change, with new tokens. The grants in
// entry.replaced stay in force until the change is committed.
func (t *table) change(entries []entry, reuseTokens bool) {
	t.seq++
	kept := t.entries[:0:0]
	for _, e := range t.entries {
		if !slices.ContainsFunc(entries, func(c entry) bool { return c.grant.Range.Overlaps(e.grant.Range) }) {
			kept = append(kept, e)
		}
	}
	for _, e := range entries {
		e.seq = t.seq
		if !reuseTokens {
			e.grant.Token = Token{Term: t.term, Seq: t.seq}
		}
		kept = append(kept, e)
	}
	slices.SortFunc(kept, func(a, b entry) int { return compareGrants(a.grant, b.grant) })
	t.entries = kept
}

func (t *table) grants() []Grant {
	grants := make([]Grant, 0, len(t.entries))
	for _, e := range t.entries {
		grants = append(grants, e.grant)
	}
	return grants
}

// entry returns the entry of exactly this range, or nil.
func (t *table) entry(r keyspace.Range) *entry {
	for i := range t.entries {
		if t.entries[i].grant.Range == r {
			return &t.entries[i]
		}
	}
	return nil
}

// countOwned returns the number of ranges that the process owns.
func (t *table) countOwned(node ident.Node) int {
	count := 0
	for _, e := range t.entries {
		if e.grant.Owner == node {
			count++
		}
	}
	return count
}

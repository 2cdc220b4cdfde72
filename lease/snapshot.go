package lease

import (
	"slices"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/rangeindex"
)

// entry is one holding with the counter of its grant.
type entry struct {
	holding   cell.Holding
	heldSince clock.Time // since when the whole range has been held without interruption
	counter   *counter
}

func (e *entry) verdict(now clock.Time) Verdict {
	if !now.Before(e.holding.Expires) {
		return Expired
	}
	if e.holding.Releasing {
		return Releasing
	}
	return Held
}

// snapshot is an immutable set of disjoint holdings ordered by range.
type snapshot struct {
	entries []entry
	index   rangeindex.Index
}

func newSnapshot(entries []entry) *snapshot {
	sortEntries(entries)
	ranges := make([]keyspace.Range, len(entries))
	for i := range entries {
		ranges[i] = entries[i].holding.Grant.Range
	}
	return &snapshot{entries: entries, index: rangeindex.New(ranges)}
}

// find returns the entry that covers p, or nil.
func (s *snapshot) find(p keyspace.Point) *entry {
	i := s.index.Find(p)
	if i < 0 {
		return nil
	}
	return &s.entries[i]
}

// longestHeld returns the held entry whose lease expires last, or nil if none is
// held.
func (s *snapshot) longestHeld(now clock.Time) *entry {
	var best *entry
	for i := range s.entries {
		e := &s.entries[i]
		if e.verdict(now) != Held {
			continue
		}
		if best == nil || best.holding.Expires < e.holding.Expires {
			best = e
		}
	}
	return best
}

func sortEntries(entries []entry) {
	slices.SortFunc(entries, func(a, b entry) int {
		if a.holding.Grant.Range.First < b.holding.Grant.Range.First {
			return -1
		}
		return 1
	})
}

// heldSince returns the time since when r has been held without interruption,
// for an entry in a snapshot that replaces s at now. It returns now if s does
// not hold all of r.
func (s *snapshot) heldSince(r keyspace.Range, now clock.Time) clock.Time {
	next := r.First
	since := clock.Never
	for i := range s.entries {
		e := &s.entries[i]
		if !e.holding.Grant.Range.Contains(next) || !now.Before(e.holding.Expires) {
			continue
		}
		since = max(since, e.heldSince)
		if r.Last <= e.holding.Grant.Range.Last {
			return since
		}
		next = e.holding.Grant.Range.Last + 1
	}
	return now
}

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
	holding cell.Holding
	since   clock.Time // start of the unbroken time for which the whole range is held
	count   *counter
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

// snapshot is an immutable set of holdings ordered by range.
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

// any returns the entry held longest from now on, or nil if none is held.
func (s *snapshot) any(now clock.Time) *entry {
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

// since returns the start of the unbroken time for which r is held, as a
// successor of s that is put in force at now sees it.
func (s *snapshot) since(r keyspace.Range, now clock.Time) clock.Time {
	next := r.First
	since := clock.Never
	for i := range s.entries {
		e := &s.entries[i]
		if !e.holding.Grant.Range.Contains(next) || !now.Before(e.holding.Expires) {
			continue
		}
		since = max(since, e.since)
		if r.Last <= e.holding.Grant.Range.Last {
			return since
		}
		next = e.holding.Grant.Range.Last + 1
	}
	return now
}

package celltest

import (
	"sort"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
)

// segment is a part of the hash space with the newest grant recorded for it.
type segment struct {
	first keyspace.Point
	token cell.Token
	owner ident.Node

	// Set for acknowledged grants only:
	leader ident.Node // leader that acknowledged the grant
	deputy ident.Node // deputy at that time
	logged bool       // the log contains the grant or a newer one
}

// segments maps every point to the newest grant recorded for it. The first
// segment starts at point 0, and each segment ends before the next one.
type segments struct {
	list   []segment
	buffer []segment
}

func newSegments() segments { return segments{list: make([]segment, 1, 64)} }

// find returns the index of the segment that contains p.
func (s *segments) find(p keyspace.Point) int {
	return sort.Search(len(s.list), func(i int) bool { return s.list[i].first > p }) - 1
}

// last returns the last point of segment i.
func (s *segments) last(i int) keyspace.Point {
	if i+1 < len(s.list) {
		return s.list[i+1].first - 1
	}
	return keyspace.MaxPoint
}

// conflict returns a segment overlapping g whose grant is newer than g or has
// the same token and another owner. It returns nil if there is none.
func (s *segments) conflict(g *cell.Grant) *segment {
	for i := s.find(g.Range.First); i < len(s.list) && s.list[i].first <= g.Range.Last; i++ {
		seg := &s.list[i]
		if g.Token.Less(seg.token) || g.Token == seg.token && !seg.owner.IsZero() && seg.owner != g.Owner {
			return seg
		}
	}
	return nil
}

// covers reports whether every segment overlapping g has g as its grant.
func (s *segments) covers(g *cell.Grant) bool {
	for i := s.find(g.Range.First); i < len(s.list) && s.list[i].first <= g.Range.Last; i++ {
		if s.list[i].token != g.Token || s.list[i].owner != g.Owner {
			return false
		}
	}
	return true
}

// record records g for all points whose grant is older. The fields of with
// other than the grant are stored along.
func (s *segments) record(g *cell.Grant, with segment) {
	if s.covers(g) {
		return
	}
	out := s.buffer[:0]
	for i := range s.list {
		out = s.recordOne(out, i, g, with)
	}
	s.buffer, s.list = s.list, out
}

// recordOne appends segment i to out, split where g starts and ends.
func (s *segments) recordOne(out []segment, i int, g *cell.Grant, with segment) []segment {
	seg := s.list[i]
	last := s.last(i)
	if last < g.Range.First || seg.first > g.Range.Last || !seg.token.Less(g.Token) {
		return appendSegment(out, seg)
	}
	if seg.first < g.Range.First {
		out = appendSegment(out, seg)
	}
	with.first, with.token, with.owner = max(seg.first, g.Range.First), g.Token, g.Owner
	out = appendSegment(out, with)
	if last > g.Range.Last {
		rest := seg
		rest.first = g.Range.Last + 1
		out = appendSegment(out, rest)
	}
	return out
}

func appendSegment(out []segment, seg segment) []segment {
	if n := len(out); n > 0 && out[n-1].token == seg.token && out[n-1].owner == seg.owner {
		return out
	}
	return append(out, seg)
}

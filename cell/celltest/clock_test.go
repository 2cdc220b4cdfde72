package celltest

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
)

func TestDriftClockIsInverted(t *testing.T) {
	props := gopter.NewProperties(nil)
	props.Property("when undoes read", prop.ForAll(func(at, rate int64) bool {
		c := driftClock{offset: 1 << 40, rate: rate}
		diff := c.when(c.read(trueTime(at))) - trueTime(at)
		return diff >= -rounding && diff <= rounding
	}, gen.Int64Range(0, 1e13), gen.Int64Range(-20000, 20000)))
	props.TestingRun(t)
}

func TestSegmentsKeepTheNewestGrant(t *testing.T) {
	s := newSegments()
	owner := ident.Node{Instance: "n00", Incarnation: 1}
	add := func(first, last keyspace.Point, seq uint64) {
		s.record(&cell.Grant{Range: keyspace.Range{First: first, Last: last}, Owner: owner, Token: cell.Token{Term: 1, Seq: seq}}, segment{})
	}
	add(0, keyspace.MaxPoint, 1)
	add(100, 199, 3)
	add(150, 300, 2)
	for _, tc := range []struct {
		point keyspace.Point
		seq   uint64
	}{{0, 1}, {99, 1}, {100, 3}, {199, 3}, {200, 2}, {300, 2}, {301, 1}, {keyspace.MaxPoint, 1}} {
		if got := s.list[s.find(tc.point)].token.Seq; got != tc.seq {
			t.Errorf("point %d has sequence %d, want %d", tc.point, got, tc.seq)
		}
	}
	stale := cell.Grant{Range: keyspace.Range{First: 199, Last: 200}, Owner: owner, Token: cell.Token{Term: 1, Seq: 2}}
	if s.conflict(&stale) == nil {
		t.Error("an older token was not reported as a conflict")
	}
}

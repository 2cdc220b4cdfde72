package sidecar

import (
	"math"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ownertable"
	"github.com/parsleystack/parsleystack/wire"
)

func statementHeaders(s *targetStatement, now clock.Time) []wire.Header {
	return []wire.Header{{Name: []byte("parsley-target-statement"), Value: s.encode(now)}}
}

func TestTargetStatementRoundTrip(t *testing.T) {
	now := clock.Time(time.Hour)
	for _, want := range []targetStatement{
		{target: ownertable.Target{ID: "t&1=;", StartTime: 5}},
		{target: ownertable.Target{ID: "t", StartTime: math.MaxInt64}, limited: true, rate: 0.3},
		{target: ownertable.Target{ID: "t", StartTime: 1}, limited: true, leavingSince: now.Add(-1500 * time.Millisecond)},
	} {
		got, err := decodeStatement(statementField(statementHeaders(&want, now)), now)
		if err != nil || *got != want {
			t.Errorf("got %+v, %v, want %+v", got, err, want)
		}
	}
}

func FuzzDecodeStatement(f *testing.F) {
	now := clock.Time(time.Hour)
	f.Add([]byte("target=t&start=5&rate=NaN&leaving_ms=99999999999"))
	f.Add((&targetStatement{limited: true, rate: 20, leavingSince: now}).encode(now))
	f.Fuzz(func(t *testing.T, value []byte) {
		s, err := decodeStatement(value, now)
		if err == nil && (!(s.rate >= 0) || s.leavingSince < 0 || s.leavingSince > now) {
			t.Errorf("%q: %+v", value, s)
		}
	})
}

// A response of an earlier target of an instance must say nothing about the current one,
// and a departure must outlast responses that overtook the one that stated it.
func TestStatementsAreOfOneTarget(t *testing.T) {
	now := clock.Time(time.Hour)
	first, second := ownertable.Target{ID: "t", StartTime: 1}, ownertable.Target{ID: "t", StartTime: 2}
	var l targetLoad
	l.observeStatement(nil, now)
	if l.stated.Load() != nil {
		t.Error("a response without a statement is one")
	}
	l.observeStatement(statementHeaders(&targetStatement{target: first, limited: true, rate: 20, leavingSince: now}, now), now)
	l.observeStatement(statementHeaders(&targetStatement{target: first, limited: true, rate: 30}, now), now)
	if s := l.stated.Load(); s == nil || s.target != first || s.rate != 30 || s.leavingSince != now {
		t.Errorf("stated %+v, want a departure and a rate of 30", s)
	}
	l.observeStatement(nil, now)
	if s := l.stated.Load(); s == nil || s.limited || s.leavingSince != now {
		t.Errorf("stated %+v, want a departure without a limit", s)
	}
	l.observeStatement(statementHeaders(&targetStatement{target: second, limited: true, rate: 3}, now), now)
	if s := l.stated.Load(); s == nil || s.target != second || s.leavingSince != clock.Never {
		t.Errorf("stated %+v, want only a limit, of the later target", s)
	}
	l.observeStatement(nil, now)
	if s := l.stated.Load(); s != nil {
		t.Errorf("stated %+v after the limit was withdrawn, want nothing", s)
	}
}

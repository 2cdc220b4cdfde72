package sidecar

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ownertable"
)

const (
	// minSeries is the number of heartbeats, and minSeriesIntervals the time in heartbeat
	// intervals, after which heartbeats that are numbered below the newest one count as the
	// target's own. Late ones do not go on for that long without a newer one among them.
	minSeries          = 4
	minSeriesIntervals = 3
)

// heartbeatSeries is a series of heartbeats of the current target with rising numbers below
// that of the newest accepted one. A target goes on with its numbers: if only lower ones
// arrive for a while, the newest one was of another writer, which would hide the target.
type heartbeatSeries struct {
	count int
	last  uint64
	since clock.Time
}

// add adds a heartbeat that is numbered below the newest accepted one. It reports whether the
// series is the target's.
func (s *heartbeatSeries) add(seq uint64, interval time.Duration, now clock.Time) bool {
	if s.count == 0 || seq <= s.last {
		*s = heartbeatSeries{count: 1, last: seq, since: now}
		return false
	}
	s.count++
	s.last = seq
	return s.count >= minSeries && now.Sub(s.since) >= minSeriesIntervals*interval
}

// earlierTarget is a target that states an earlier start than the current one, and the series
// of its heartbeats.
type earlierTarget struct {
	target ownertable.Target
	series heartbeatSeries
}

// add adds a heartbeat. It reports whether those of its target go on for so long that they are
// not late ones of a target that has ended.
func (e *earlierTarget) add(t ownertable.Target, seq uint64, interval time.Duration, now clock.Time) bool {
	if e.target != t {
		*e = earlierTarget{target: t}
	}
	return e.series.add(seq, interval, now)
}

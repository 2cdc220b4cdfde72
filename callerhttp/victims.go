package callerhttp

import (
	"cmp"
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

const (
	// quietTime is how long a connection makes no progress before it is closed for another
	// one in place of those that do. Callers may open connections shortly before they use them.
	quietTime = 2 * time.Second
	// stalledWrite is how long a caller takes no bytes of a response before its connection may
	// be closed for another one. It is above the time that a caller needs for writePiece on a
	// slow link.
	stalledWrite = 10 * time.Second
	// freshShare is the share of the connections, as a divisor, that may be fresh before the
	// oldest of these are closed first, whatever their age: a flood of connections must not
	// displace the idle ones of other callers.
	freshShare = 4
	// victimShare is the share of the connections, as a divisor, that are closed after one scan.
	victimShare = 16
	// scanPause is the time between two scans if nothing was found.
	scanPause = 20 * time.Millisecond
)

// victim is a connection that may be closed for a new one.
type victim struct {
	conn  *conn
	word  uint64 // of its state when it was selected
	rank  int    // those of the lowest are closed first
	since clock.Time
}

// Ranks of victims in the order in which they are closed. Within a rank, the connection goes
// first that has made no progress for the longest time.
const (
	rankLingering = iota
	rankFlood                                    // fresh, and there are many of them
	rankQuiet                                    // and the activity, fresh to inBody
	rankMoving    = rankQuiet + int(inBody) + 1  // likewise
	rankStalled   = rankMoving + int(inBody) + 1 // the caller takes no bytes of a response
)

// isStalled reports whether a write that has made progress last at a time is stalled.
func isStalled(progress, now clock.Time) bool {
	return progress != clock.Never && now.Sub(progress) >= stalledWrite
}

// selectVictims returns the connections that may be closed for new ones, the next one last.
// Connections with requests in progress are not among them.
func selectVictims(conns map[*conn]struct{}, now clock.Time) []victim {
	all := make([]victim, 0, len(conns))
	freshCount := 0
	for c := range conns {
		v := victim{conn: c, word: c.state.word.Load()}
		var a activity
		a, v.since = unpack(v.word)
		switch {
		case a == displaced:
			continue
		case a == busy:
			if v.since = clock.Time(c.writing.Load()); !isStalled(v.since, now) {
				continue
			}
			v.rank = rankStalled
		case a == lingering:
			v.rank = rankLingering
		case now.Sub(v.since) >= quietTime:
			v.rank = rankQuiet + int(a)
		default:
			v.rank = rankMoving + int(a)
		}
		if a == fresh {
			freshCount++
		}
		all = append(all, v)
	}
	if freshCount > len(conns)/freshShare {
		for i := range all {
			if all[i].rank == rankQuiet+int(fresh) || all[i].rank == rankMoving+int(fresh) {
				all[i].rank = rankFlood
			}
		}
	}
	slices.SortFunc(all, func(a, b victim) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.since, b.since)) })
	slices.Reverse(all)
	return all
}

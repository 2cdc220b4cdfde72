package celltest

import (
	"errors"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/platformlog"
)

// lostStream reports whether all processes rightly report that the stream has
// lost records that no snapshot replaces. An operator must act then, and the
// cell serves nothing.
func (c *checker) lostStream() bool {
	if c.w.log.retention == 0 || c.w.log.holdsSnapshot() {
		return false
	}
	for i := range c.w.procs {
		p := &c.w.procs[i]
		var gap *cell.StreamTruncatedError
		if p.alive && !errors.As(p.lastErr, &gap) {
			return false
		}
	}
	return true
}

// holdsSnapshot reports whether a reader can start from what the log keeps.
func (l *fakeLog) holdsSnapshot() bool {
	earliest := l.earliest()
	for i := range l.records {
		rec, err := cell.DecodeRecord(l.records[i].Payload)
		if err == nil && rec.Snapshot != nil && platformlog.Offset(rec.Snapshot.Covered)+1 >= earliest {
			return true
		}
	}
	return earliest == 1
}

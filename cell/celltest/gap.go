package celltest

import (
	"errors"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/platformlog"
)

// streamUnrecoverable reports whether the stream is truncated without a snapshot that
// replaces the expired records, and all running processes report that. The cell
// then serves nothing until an operator intervenes.
func (c *checker) streamUnrecoverable() bool {
	if c.w.log.retention == 0 || c.w.log.holdsSnapshot() {
		return false
	}
	for i := range c.w.procs {
		p := &c.w.procs[i]
		var truncated *cell.StreamTruncatedError
		if p.alive && !errors.As(p.lastErr, &truncated) {
			return false
		}
	}
	return true
}

// holdsSnapshot reports whether a new reader can obtain the full state from the
// records that the log still has.
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

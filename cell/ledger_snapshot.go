package cell

import (
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/platformlog"
)

// snapshot returns a snapshot of the current state.
func (l *Ledger) snapshot(nonce uint64) *Snapshot {
	return &Snapshot{Nonce: nonce, Covered: uint64(l.appliedOffset), State: l.state}
}

// NewLedgerFromSnapshot returns the ledger that is stored in s, for readers
// whose stream is truncated. The records after s.Covered must be applied next.
// The configuration is copied from l; time is the append time of the snapshot.
func NewLedgerFromSnapshot(l *Ledger, s *Snapshot, time int64) *Ledger {
	state := s.State
	state.Grants = slices.Clone(state.Grants)
	return &Ledger{
		service:          l.service,
		span:             l.span,
		appliedOffset:    platformlog.Offset(s.Covered),
		state:            state,
		snapshotTime:     time,
		lastTime:         time,
		acceptAnyVersion: l.acceptAnyVersion,
	}
}

// snapshotAge returns the age of the newest snapshot at the append time of the
// newest record.
func (l *Ledger) snapshotAge() time.Duration { return time.Duration(l.lastTime - l.snapshotTime) }

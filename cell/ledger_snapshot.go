package cell

import (
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/platformlog"
)

// snapshot returns a snapshot of everything applied so far.
func (l *Ledger) snapshot(nonce uint64) *Snapshot {
	return &Snapshot{Nonce: nonce, Covered: uint64(l.appliedOffset), State: l.state}
}

// NewLedgerFromSnapshot returns the ledger that Snapshot s describes. It is
// used by readers whose stream has lost its first records; the records after
// s.Covered are applied next. The time is the append time of the snapshot.
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

// snapshotAge returns how old the newest snapshot was when the newest record
// was appended.
func (l *Ledger) snapshotAge() time.Duration { return time.Duration(l.lastTime - l.snapshotTime) }

package cell

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/platformlog"
)

// maxBufferedRecords is the number of records that a node buffers while it
// searches for a snapshot in a truncated stream.
const maxBufferedRecords = 1 << 16

// reader is the node's position in the stream.
type reader struct {
	next     platformlog.Offset
	lastTail clock.Time // start of the last read that reached the end
	lastRead clock.Time // time that the newest record was read

	// truncation is set while records are missing and no snapshot has been found.
	truncation      *StreamTruncatedError
	sinceTruncation []platformlog.Record // records read since the truncated range

	// snapshotJitter in [0, 1) spreads the members' snapshots over time.
	snapshotJitter float64
}

// onLogRead applies the records of a successful read.
func (n *Node) onLogRead(ev LogRead) {
	r := &n.reader
	if ev.From > r.next {
		n.out.ReadLog = true
		return
	}
	for _, rec := range ev.Batch.Records {
		if rec.Offset < r.next {
			continue
		}
		if rec.Offset > r.next && rec.Offset >= ev.Batch.Earliest && ev.Batch.Earliest > r.next {
			n.onLogTruncated(LogTruncated{From: r.next, Earliest: ev.Batch.Earliest})
		}
		n.readRecord(rec)
		if n.ledger.err != nil {
			n.out.Err = n.ledger.err
			return
		}
		r.next = rec.Offset + 1
	}
	if r.next < ev.Batch.Next {
		n.out.ReadLog = true
		return
	}
	if r.truncation != nil {
		n.out.Err = r.truncation
		return
	}
	r.lastTail = max(r.lastTail, ev.Started)
}

// onLogTruncated handles the removal of records that were not read. The node
// continues at the earliest record and searches for a snapshot.
func (n *Node) onLogTruncated(ev LogTruncated) {
	r := &n.reader
	if ev.Earliest <= r.next {
		return
	}
	if r.truncation == nil {
		r.truncation = &StreamTruncatedError{From: r.next, Earliest: ev.Earliest}
	}
	r.truncation.Earliest = ev.Earliest
	r.sinceTruncation = nil
	r.next = ev.Earliest
	n.out.ReadLog = true
}

func (n *Node) readRecord(rec platformlog.Record) {
	n.reader.lastRead = n.now
	if n.reader.truncation != nil {
		n.findSnapshot(rec)
		return
	}
	before := n.ledger.state
	v := n.ledger.Apply(rec.Offset, rec.Time, rec.Payload)
	n.audit(v.Audit...)
	n.resolveAppend(v)
	if !v.Valid {
		return
	}
	record, err := DecodeRecord(rec.Payload)
	if err != nil {
		return
	}
	n.onRecordApplied(record, before)
}

// resolveAppend clears the append whose record has been read back.
func (n *Node) resolveAppend(v ApplyResult) {
	n.appends.resolve(v.Nonce)
}

// onRecordApplied reacts to a valid record that has just been applied. Before
// is the state of the ledger before it.
func (n *Node) onRecordApplied(r Record, before LedgerState) {
	if n.ledger.state.RolesVersion != before.RolesVersion {
		n.appends.resolveRoleChanges(n.ledger.state.RolesVersion)
	}
	if len(before.FormerPairs) > 0 && len(n.ledger.state.FormerPairs) == 0 {
		n.deputy.lastExtension = n.now
	}
	switch {
	case r.Claim != nil:
		n.onClaimApplied(r.Claim, before)
	case r.Deputy != nil:
		n.onDeputyApplied()
	case r.Intent != nil:
		n.onIntentApplied(r.Intent)
	case r.Objection != nil:
		n.recovery.notBefore = n.now.Add(n.timing.recoveryTimeout)
	}
}

// findSnapshot buffers the record and installs it if it is a snapshot that covers
// the truncated records.
func (n *Node) findSnapshot(rec platformlog.Record) {
	r := &n.reader
	if len(r.sinceTruncation) < maxBufferedRecords {
		r.sinceTruncation = append(r.sinceTruncation, rec)
	}
	record, err := DecodeRecord(rec.Payload)
	if err != nil || record.Snapshot == nil {
		return
	}
	covered := platformlog.Offset(record.Snapshot.Covered)
	if covered+1 < r.sinceTruncation[0].Offset || covered < n.ledger.appliedOffset {
		return
	}
	n.installSnapshot(record.Snapshot, rec)
}

// installSnapshot restores the ledger from a snapshot. Roles are kept if the
// snapshot shows that no claim or deputy change was among the missing records.
func (n *Node) installSnapshot(s *Snapshot, at platformlog.Record) {
	version := n.ledger.state.RolesVersion
	n.ledger = NewLedgerFromSnapshot(n.ledger, s, at.Time)
	if n.ledger.state.RolesVersion != version {
		n.stepDown()
		n.deputy = deputy{lastExtension: n.now}
		n.appends.resolveRoleChanges(n.ledger.state.RolesVersion)
	}
	records := n.reader.sinceTruncation
	n.reader.truncation = nil
	n.reader.sinceTruncation = nil
	for _, rec := range records {
		if rec.Offset > n.ledger.appliedOffset && n.ledger.err == nil {
			n.readRecord(rec)
		}
	}
}

// runSnapshot writes a snapshot before the newest one expires. Any member may
// do so; concurrent snapshots are harmless.
func (n *Node) runSnapshot() {
	if n.cfg.SnapshotInterval <= 0 || n.ledger.appliedOffset == 0 || n.reader.truncation != nil || n.ledger.err != nil {
		return
	}
	age := n.ledger.snapshotAge() + n.now.Sub(n.reader.lastRead)
	due := time.Duration(float64(n.cfg.SnapshotInterval) * (0.7 + 0.2*n.reader.snapshotJitter))
	if age < due || !n.mayAppend(KindSnapshot) {
		return
	}
	nonce := n.newNonce()
	n.append(nonce, Record{Snapshot: n.ledger.snapshot(nonce)})
}

// logFresh reports whether the log has been read to its end within the last
// lease duration.
func (n *Node) logFresh() bool {
	return n.reader.lastTail != clock.Never && n.now.Sub(n.reader.lastTail) <= n.timing.lease
}

package cell

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/platformlog"
)

// maxSeekRecords is the number of records that a node keeps while it looks for
// a snapshot in a stream that has lost its first records.
const maxSeekRecords = 1 << 16

// reader is the node's position in the stream.
type reader struct {
	next     platformlog.Offset
	lastTail clock.Time // start of the last read that reached the end
	lastRead clock.Time // time that the newest record was read

	// gap is set while records are missing and no snapshot has been found.
	gap    *StreamTruncatedError
	sought []platformlog.Record // records read since the gap

	// snapshotShare in [0, 1) spreads the members' snapshots.
	snapshotShare float64
}

// readLog folds the records of a successful read.
func (n *Node) readLog(ev LogRead) {
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
			n.readGap(LogTruncated{From: r.next, Earliest: ev.Batch.Earliest})
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
	if r.gap != nil {
		n.out.Err = r.gap
		return
	}
	r.lastTail = max(r.lastTail, ev.Started)
}

// readGap notes that records have expired unread. The node goes on from the
// oldest record kept and looks for a snapshot.
func (n *Node) readGap(ev LogTruncated) {
	r := &n.reader
	if ev.Earliest <= r.next {
		return
	}
	if r.gap == nil {
		r.gap = &StreamTruncatedError{From: r.next, Earliest: ev.Earliest}
	}
	r.gap.Earliest = ev.Earliest
	r.sought = nil
	r.next = ev.Earliest
	n.out.ReadLog = true
}

func (n *Node) readRecord(rec platformlog.Record) {
	n.reader.lastRead = n.now
	if n.reader.gap != nil {
		n.seek(rec)
		return
	}
	before := n.ledger.state
	v := n.ledger.Apply(rec.Offset, rec.Time, rec.Payload)
	n.audit(v.Audit...)
	n.settled(v)
	if !v.Valid {
		return
	}
	record, err := DecodeRecord(rec.Payload)
	if err != nil {
		return
	}
	n.folded(record, before)
}

// settled forgets the appends that the record settles.
func (n *Node) settled(v ApplyResult) {
	n.appends.settle(v.Nonce)
}

// folded reacts to a valid record that has just been folded. The state before
// it is given.
func (n *Node) folded(r Record, before LedgerState) {
	if n.ledger.state.RolesVersion != before.RolesVersion {
		n.appends.settleBase(n.ledger.state.RolesVersion)
	}
	if len(before.Pending) > 0 && len(n.ledger.state.Pending) == 0 {
		n.deputy.lastPledge = n.now
	}
	switch {
	case r.Claim != nil:
		n.foldedClaim(r.Claim, before)
	case r.Deputy != nil:
		n.foldedDeputy()
	case r.Intent != nil:
		n.foldedIntent(r.Intent)
	case r.Objection != nil:
		n.recovery.heldOff = n.now.Add(n.timing.recoveryTimeout)
	}
}

// seek looks for a snapshot that covers the lost records.
func (n *Node) seek(rec platformlog.Record) {
	r := &n.reader
	if len(r.sought) < maxSeekRecords {
		r.sought = append(r.sought, rec)
	}
	record, err := DecodeRecord(rec.Payload)
	if err != nil || record.Snapshot == nil {
		return
	}
	covered := platformlog.Offset(record.Snapshot.Covered)
	if covered+1 < r.sought[0].Offset || covered < n.ledger.covered {
		return
	}
	n.install(record.Snapshot, rec)
}

// install starts over from a snapshot. Roles are kept if the snapshot shows
// that no claim or change of the deputy has been lost.
func (n *Node) install(s *Snapshot, at platformlog.Record) {
	base := n.ledger.state.RolesVersion
	n.ledger = NewLedgerFromSnapshot(n.ledger, s, at.Time)
	if n.ledger.state.RolesVersion != base {
		n.stepDown()
		n.deputy = deputy{lastPledge: n.now}
		n.appends.settleBase(n.ledger.state.RolesVersion)
	}
	sought := n.reader.sought
	n.reader.gap = nil
	n.reader.sought = nil
	for _, rec := range sought {
		if rec.Offset > n.ledger.covered && n.ledger.err == nil {
			n.readRecord(rec)
		}
	}
}

// runSnapshot writes a snapshot before the newest one expires. Any member may;
// two at once do no harm.
func (n *Node) runSnapshot() {
	if n.cfg.SnapshotInterval <= 0 || n.ledger.covered == 0 || n.reader.gap != nil || n.ledger.err != nil {
		return
	}
	age := n.ledger.snapshotAge() + n.now.Sub(n.reader.lastRead)
	due := time.Duration(float64(n.cfg.SnapshotInterval) * (0.7 + 0.2*n.reader.snapshotShare))
	if age < due || !n.mayAppend(KindSnapshot) {
		return
	}
	nonce := n.nonce()
	n.append(nonce, Record{Snapshot: n.ledger.snapshot(nonce)})
}

// logFresh reports whether the log has been read to its end lately.
func (n *Node) logFresh() bool {
	return n.reader.lastTail != clock.Never && n.now.Sub(n.reader.lastTail) <= n.timing.lease
}

package audit

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/platformlog"
)

// readBatchSize is the maximum number of records of one read.
const readBatchSize = 512

// ReadCell returns the entries of one cell's stream in log order. If the start
// of the stream is truncated, records before the first usable snapshot are left
// out, since their effect is no longer known.
func ReadCell(ctx context.Context, log platformlog.Log, svc ident.Service, stream platformlog.Stream) ([]Entry, error) {
	records, err := readAll(ctx, log, stream)
	if err != nil {
		return nil, err
	}
	ledger := ledgerFor(svc, records)
	if ledger == nil {
		return nil, nil
	}
	var entries []Entry
	for _, rec := range records {
		if rec.Offset <= ledger.AppliedOffset() {
			continue
		}
		before := ledger.Assignments()
		v := ledger.Apply(rec.Offset, rec.Time, rec.Payload)
		if v.Err != nil {
			return entries, v.Err
		}
		for _, a := range v.Audit {
			e := cellEntry(svc, stream, rec, a)
			if a.Kind == cell.AuditGranted {
				e.Reason = moveReason(before, ledger.Members(), a)
			}
			entries = append(entries, e)
		}
	}
	return entries, nil
}

// readAll returns all records that the log has retained of the stream.
func readAll(ctx context.Context, log platformlog.Log, stream platformlog.Stream) ([]platformlog.Record, error) {
	var records []platformlog.Record
	from := platformlog.Offset(1)
	for {
		batch, err := log.Read(ctx, stream, from, readBatchSize)
		var truncated *platformlog.TruncatedError
		if errors.As(err, &truncated) {
			from = truncated.Earliest
			records = nil
			continue
		}
		if err != nil {
			return nil, err
		}
		records = append(records, batch.Records...)
		if batch.AtTail(from) {
			return records, nil
		}
		from = records[len(records)-1].Offset + 1
	}
}

// ledgerFor returns the ledger to which the records can be applied, or nil if
// the start of the stream is truncated and no snapshot covers it.
func ledgerFor(svc ident.Service, records []platformlog.Record) *cell.Ledger {
	empty := cell.NewLedger(svc, keyspace.Full())
	if len(records) == 0 || records[0].Offset == 1 {
		return empty
	}
	for _, rec := range records {
		r, err := cell.DecodeRecord(rec.Payload)
		if err != nil || r.Snapshot == nil {
			continue
		}
		if platformlog.Offset(r.Snapshot.Covered)+1 >= records[0].Offset {
			return cell.NewLedgerFromSnapshot(empty, r.Snapshot, rec.Time)
		}
	}
	return nil
}

// moveReason describes why a range was granted: which member owned it before
// and whether that member is still in the cell.
func moveReason(before []cell.Grant, members []cell.Member, a cell.AuditEntry) string {
	var from ident.Node
	for _, g := range before {
		if g.Range.Overlaps(a.Range) && !g.Owner.IsZero() {
			from = g.Owner
		}
	}
	switch {
	case from.IsZero():
		return "the range had no owner"
	case from == a.Node:
		return "granted again to its owner"
	}
	for _, m := range members {
		if m.Node == from {
			return fmt.Sprintf("moved from %v: its lease expired, or the range was moved for balancing or a planned stop", from)
		}
	}
	return fmt.Sprintf("moved from %v, which left, was lost or was restarted", from)
}

func cellEntry(svc ident.Service, stream platformlog.Stream, rec platformlog.Record, a cell.AuditEntry) Entry {
	e := Entry{
		Time:    time.Unix(0, rec.Time),
		Stream:  stream,
		Offset:  rec.Offset,
		Kind:    cellKind(a.Kind),
		Service: svc,
		Reason:  a.Reason,
	}
	if !a.Node.IsZero() {
		e.Node = a.Node.String()
	}
	if a.Range != (keyspace.Range{}) {
		e.Range = &Range{Text: a.Range.String(), At: a.Range}
	}
	if a.Token != (cell.Token{}) {
		e.Token = a.Token.String()
	}
	return e
}

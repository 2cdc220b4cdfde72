package ownertable

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/ident"
)

// HoldReport states which shards a target may hold when its daemon learns that
// the store went back to an older copy. It is immutable: a daemon process makes
// one report in each era, before it grants anything in that era.
type HoldReport struct {
	Era     uint32
	Owner   Owner
	Process int64 // tells the processes of one daemon apart
	// Rows are the ranges that the target may hold under grants of this process
	// and that nobody else may hold, in ascending order.
	Rows []Held
	// UnreportedFor is how long, from when the report was made, the target may hold
	// further keys, which an earlier process of the daemon granted.
	UnreportedFor time.Duration
}

// Name returns a name that no other report of the service has: INSTANCE/ERA/PROCESS.
// Reports need keys of their own in the store, so that one which is appended late
// hides no other.
func (r *HoldReport) Name() string {
	return fmt.Sprintf("%s/%d/%d", r.Owner.Instance, r.Era, r.Process)
}

// Encode returns the report as a compressed record.
func (r *HoldReport) Encode() []byte {
	rec := reportRecord{
		Schema: reportSchema, Era: r.Era, Instance: string(r.Owner.Instance), Target: r.Owner.Target.ID, StartTime: r.Owner.Target.StartTime,
		Process: r.Process, UnreportedMS: uint32((r.UnreportedFor + time.Millisecond - 1) / time.Millisecond),
	}
	for _, h := range r.Rows {
		rec.Rows = append(rec.Rows, heldRecord{From: h.From, To: h.To, Token: h.Token})
	}
	b, err := rec.MarshalMsg(nil)
	if err != nil {
		panic("ownertable: cannot encode report: " + err.Error())
	}
	return compress(b)
}

// DecodeReport decodes the record of a report. It returns a *RecordError if the
// record is malformed, has an unknown schema or rows that are out of order.
func DecodeReport(b []byte) (*HoldReport, error) {
	b, err := decompress(b)
	if err != nil {
		return nil, err
	}
	var rec reportRecord
	if _, err := rec.UnmarshalMsg(b); err != nil {
		return nil, &RecordError{Reason: err.Error()}
	}
	if rec.Schema != reportSchema {
		return nil, &RecordError{Reason: fmt.Sprintf("schema %d of a report is unknown", rec.Schema)}
	}
	r := &HoldReport{
		Era: rec.Era, Owner: Owner{Instance: ident.Instance(rec.Instance), Target: Target{ID: rec.Target, StartTime: rec.StartTime}},
		Process: rec.Process, UnreportedFor: time.Duration(rec.UnreportedMS) * time.Millisecond,
	}
	next := uint32(0)
	for _, h := range rec.Rows {
		if h.From < next || h.To < h.From || h.To > MaxKey {
			return nil, &RecordError{Reason: "a row of a report is out of order"}
		}
		r.Rows = append(r.Rows, Held{Range: Range{From: h.From, To: h.To}, Token: h.Token})
		next = h.To + 1
	}
	return r, nil
}

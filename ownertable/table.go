package ownertable

import (
	"fmt"
	"sort"

	"github.com/parsleystack/parsleystack/ident"
)

// Row is one range of keys and its owner.
type Row struct {
	Range
	Token    uint64 // fencing token of the owner
	Owner    Owner  // zero while the row is free
	Next     Owner  // owner that the row is meant for once it is free
	Revoked  Revocation
	Handover string
}

// Revocation says whether and why the owner of a row is to let go.
type Revocation uint8

const (
	// NotRevoked rows stay with their owner.
	NotRevoked Revocation = 0
	// RevokedToMove rows go to another target.
	RevokedToMove Revocation = 1
	// RevokedSilent rows go to another target unless the owner's daemon answers
	// again before.
	RevokedSilent Revocation = 2
)

// Free reports whether nobody owns the row.
func (r *Row) Free() bool { return r.Owner.IsZero() }

// Table holds all keys of a service in rows of rising keys. It is immutable.
type Table struct {
	Rows []Row
}

// RecordError reports a record that is no table of this version.
type RecordError struct {
	Reason string
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("owner table: %s; the record is ignored, check which program wrote it", e.Reason)
}

// NewTable returns a table whose keys are all free.
func NewTable() *Table { return &Table{Rows: []Row{{Range: Range{To: MaxKey}}}} }

// Find returns the row of a key.
func (t *Table) Find(key uint32) *Row {
	i := sort.Search(len(t.Rows), func(i int) bool { return t.Rows[i].To >= key })
	return &t.Rows[i]
}

// Owned returns the rows of one owner, revoked ones included.
func (t *Table) Owned(o Owner) []Row {
	var rows []Row
	for i := range t.Rows {
		if t.Rows[i].Owner == o {
			rows = append(rows, t.Rows[i])
		}
	}
	return rows
}

// Encode returns the record of the table.
func (t *Table) Encode() []byte {
	rec := tableRecord{Schema: tableSchema}
	index := map[Owner]int{{}: 0}
	number := func(o Owner) int {
		n, ok := index[o]
		if !ok {
			n = len(index)
			index[o] = n
			rec.Instances = append(rec.Instances, string(o.Instance))
			rec.Targets = append(rec.Targets, o.Target.ID)
			rec.Born = append(rec.Born, o.Target.Born)
		}
		return n
	}
	for i := range t.Rows {
		r := &t.Rows[i]
		rec.Rows = append(rec.Rows, row{To: r.To, Token: r.Token, Owner: number(r.Owner), Next: number(r.Next), Revoked: uint8(r.Revoked), Handover: r.Handover})
	}
	b, err := rec.MarshalMsg(nil)
	if err != nil {
		panic("ownertable: a table can always be encoded: " + err.Error())
	}
	return pack(b)
}

// Decode decodes the record of a table. It returns a *RecordError for one that
// is no table of this version or does not hold all keys.
func Decode(b []byte) (*Table, error) {
	b, err := unpack(b)
	if err != nil {
		return nil, err
	}
	var rec tableRecord
	if _, err := rec.UnmarshalMsg(b); err != nil {
		return nil, &RecordError{Reason: err.Error()}
	}
	if rec.Schema != tableSchema {
		return nil, &RecordError{Reason: fmt.Sprintf("schema %d is unknown", rec.Schema)}
	}
	if len(rec.Targets) != len(rec.Instances) || len(rec.Born) != len(rec.Instances) {
		return nil, &RecordError{Reason: "its owners are incomplete"}
	}
	t := &Table{Rows: make([]Row, 0, len(rec.Rows))}
	from := uint32(0)
	for _, r := range rec.Rows {
		owner, ok := rec.owner(r.Owner)
		next, ok2 := rec.owner(r.Next)
		if !ok || !ok2 || r.To < from || r.To > MaxKey {
			return nil, &RecordError{Reason: "a row is out of order or names no owner"}
		}
		t.Rows = append(t.Rows, Row{Range: Range{From: from, To: r.To}, Token: r.Token, Owner: owner, Next: next, Revoked: Revocation(r.Revoked), Handover: r.Handover})
		from = r.To + 1
	}
	if from != MaxKey+1 {
		return nil, &RecordError{Reason: "it does not hold all keys"}
	}
	return t, nil
}

func (r *tableRecord) owner(n int) (Owner, bool) {
	if n == 0 {
		return Owner{}, true
	}
	if n < 0 || n > len(r.Instances) {
		return Owner{}, false
	}
	return Owner{Instance: ident.Instance(r.Instances[n-1]), Target: Target{ID: r.Targets[n-1], Born: r.Born[n-1]}}, true
}

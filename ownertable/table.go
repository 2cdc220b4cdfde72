package ownertable

import (
	"fmt"
	"sort"

	"github.com/parsleystack/parsleystack/ident"
)

// Shard is a range of keys and its owner.
type Shard struct {
	Range
	Token     uint64 // fencing token of the owner
	Owner     Owner  // zero if the shard is unassigned
	NextOwner Owner  // planned next owner of a revoked shard
	Revoked   Revocation
	Handover  string // reported by the previous owner at the release; empty if there is none
}

// Revocation says whether and why the owner of a shard must release it.
type Revocation uint8

const (
	// NotRevoked shards stay with their owner.
	NotRevoked Revocation = 0
	// RevokedToMove shards are being moved to another target.
	RevokedToMove Revocation = 1
	// RevokedSuspected shards are moved to another target because the owner's
	// daemon is suspected, unless that daemon responds again before the move.
	RevokedSuspected Revocation = 2
)

// Unassigned reports whether the shard has no owner.
func (r *Shard) Unassigned() bool { return r.Owner.IsZero() }

// Table is the assignment table of a service: shards in ascending key order
// that together contain all keys. It is immutable.
type Table struct {
	Shards []Shard
}

// RecordError is the error for a record that cannot be decoded as a table of
// this version.
type RecordError struct {
	Reason string
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("assignment table: %s; the record is ignored, check which program wrote it", e.Reason)
}

// NewTable returns a table with one unassigned shard that contains all keys.
func NewTable() *Table { return &Table{Shards: []Shard{{Range: Range{To: MaxKey}}}} }

// Find returns the shard that contains a key.
func (t *Table) Find(key uint32) *Shard {
	i := sort.Search(len(t.Shards), func(i int) bool { return t.Shards[i].To >= key })
	return &t.Shards[i]
}

// LastToken returns the largest fencing token of the table, or 0 for a table
// without owners. Of two tables of a service the one with the larger last token is
// newer, also if the store has gone back between them.
func (t *Table) LastToken() uint64 {
	last := uint64(0)
	for i := range t.Shards {
		last = max(last, t.Shards[i].Token)
	}
	return last
}

// Era returns the era of the store for which the table was made. All fencing
// tokens of a table are of the same era. It is in force only in that era: a store
// that has gone back may contain older tables, and append one late.
func (t *Table) Era() uint32 {
	last := t.LastToken()
	if last == 0 {
		return 0
	}
	return EraOf(last - 1)
}

// OwnedBy returns the shards of an owner, including revoked ones.
func (t *Table) OwnedBy(o Owner) []Shard {
	var shards []Shard
	for i := range t.Shards {
		if t.Shards[i].Owner == o {
			shards = append(shards, t.Shards[i])
		}
	}
	return shards
}

// Encode returns the table as a compressed record.
func (t *Table) Encode() []byte {
	rec := tableRecord{Schema: tableSchema}
	index := map[Owner]int{{}: 0}
	ownerIndex := func(o Owner) int {
		n, ok := index[o]
		if !ok {
			n = len(index)
			index[o] = n
			rec.Instances = append(rec.Instances, string(o.Instance))
			rec.Targets = append(rec.Targets, o.Target.ID)
			rec.StartTimes = append(rec.StartTimes, o.Target.StartTime)
		}
		return n
	}
	for i := range t.Shards {
		r := &t.Shards[i]
		rec.Shards = append(rec.Shards, shardRecord{To: r.To, Token: r.Token, Owner: ownerIndex(r.Owner), Next: ownerIndex(r.NextOwner), Revoked: uint8(r.Revoked), Handover: r.Handover})
	}
	b, err := rec.MarshalMsg(nil)
	if err != nil {
		panic("ownertable: cannot encode table: " + err.Error())
	}
	return compress(b)
}

// Decode decodes the record of a table. It returns a *RecordError if the record
// is malformed, has an unknown schema or does not contain all keys.
func Decode(b []byte) (*Table, error) {
	b, err := decompress(b)
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
	if len(rec.Targets) != len(rec.Instances) || len(rec.StartTimes) != len(rec.Instances) {
		return nil, &RecordError{Reason: "the lists of owners have different lengths"}
	}
	t := &Table{Shards: make([]Shard, 0, len(rec.Shards))}
	from := uint32(0)
	for _, r := range rec.Shards {
		owner, ok := rec.owner(r.Owner)
		next, ok2 := rec.owner(r.Next)
		if !ok || !ok2 || r.To < from || r.To > MaxKey {
			return nil, &RecordError{Reason: "a shard is out of order or refers to an unknown owner"}
		}
		t.Shards = append(t.Shards, Shard{Range: Range{From: from, To: r.To}, Token: r.Token, Owner: owner, NextOwner: next, Revoked: Revocation(r.Revoked), Handover: r.Handover})
		from = r.To + 1
	}
	if from != MaxKey+1 {
		return nil, &RecordError{Reason: "it does not contain all keys"}
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
	return Owner{Instance: ident.Instance(r.Instances[n-1]), Target: Target{ID: r.Targets[n-1], StartTime: r.StartTimes[n-1]}}, true
}

package config

import "github.com/parsleystack/parsleystack/platformlog"

// replay rebuilds the state from the records that the log still holds.
type replay struct {
	schema  int
	records []platformlog.Record // in order, starting with the oldest record that the log keeps
	onApply func(Verdict)        // may be nil
}

// add adds the next record. It returns the state after that record once the state
// can be derived from the first record of the stream, a snapshot or a reset, and
// nil until then.
func (r *replay) add(rec platformlog.Record) *State {
	r.records = append(r.records, rec)
	if rec.Offset == 1 {
		return r.apply(NewState(r.schema))
	}
	c, err := DecodeChange(rec.Payload)
	if err != nil {
		return nil
	}
	if c.Kind != KindSnapshot && c.Kind != KindReset {
		return nil
	}
	if c.ExpectedVersion+1 < r.records[0].Offset || c.ExpectedVersion >= rec.Offset {
		return nil
	}
	snap, err := decodeSnapshot(c)
	if err != nil {
		return nil
	}
	if c.Kind == KindSnapshot {
		return r.apply(stateFromSnapshot(snap, r.schema))
	}
	if r.changedAfter(snap.Covered, rec.Offset) {
		return nil
	}
	return r.apply(emptyAt(rec.Offset-1, r.schema))
}

// apply applies the records to st, which ignores those that it already includes.
func (r *replay) apply(st *State) *State {
	for _, rec := range r.records {
		v := st.Apply(rec.Offset, rec.Time, rec.Payload)
		if r.onApply != nil {
			r.onApply(withChange(v, rec))
		}
	}
	return st
}

// withChange adds the decoded change to the verdict if a snapshot covers the
// record.
func withChange(v Verdict, rec platformlog.Record) Verdict {
	if v.Outcome == AlreadyApplied {
		v.Change, _ = DecodeChange(rec.Payload)
	}
	return v
}

// changedAfter reports whether there is a change or a reset after the offset
// covered and before end.
func (r *replay) changedAfter(covered, end platformlog.Offset) bool {
	for _, rec := range r.records {
		if rec.Offset <= covered || rec.Offset >= end {
			continue
		}
		if countsAsChange(rec.Payload) {
			return true
		}
	}
	return false
}

// countsAsChange reports whether State.Apply sets lastChange for the record.
func countsAsChange(payload []byte) bool {
	c, err := DecodeChange(payload)
	if err != nil || c.Kind == KindSnapshot {
		return false
	}
	if c.Kind != KindReset {
		return true
	}
	_, err = decodeSnapshot(c)
	return err == nil
}

// emptyAt returns a state without entries that covers the records up to covered.
// A reset replaces all entries, so the earlier ones are not needed.
func emptyAt(covered platformlog.Offset, schema int) *State {
	st := NewState(schema)
	st.covered = covered
	return st
}

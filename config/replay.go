package config

import "github.com/parsleystack/parsleystack/platformlog"

// replay builds a state from the records that the stream still holds.
type replay struct {
	schema  int
	records []platformlog.Record // from the oldest one kept on, in order
	onApply func(Verdict)        // may be nil
}

// add takes the next record. It returns the state up to that record once a
// snapshot, a reset or the very first record makes it known, and nil before.
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
		return r.apply(stateOf(snap, r.schema))
	}
	if r.changedAfter(snap.Covered, rec.Offset) {
		return nil
	}
	return r.apply(emptyAt(rec.Offset-1, r.schema))
}

// apply folds the records that st does not contain yet.
func (r *replay) apply(st *State) *State {
	for _, rec := range r.records {
		v := st.Apply(rec.Offset, rec.Time, rec.Payload)
		if r.onApply != nil {
			r.onApply(withChange(v, rec))
		}
	}
	return st
}

// withChange adds the change to the verdict on a record that a snapshot covers.
func withChange(v Verdict, rec platformlog.Record) Verdict {
	if v.Outcome == AlreadyApplied {
		v.Change, _ = DecodeChange(rec.Payload)
	}
	return v
}

// changedAfter reports whether a change or a reset stands after the offset
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

// emptyAt returns a state without entries that contains the records up to
// covered, for a reset that replaces whatever there was.
func emptyAt(covered platformlog.Offset, schema int) *State {
	st := NewState(schema)
	st.covered = covered
	return st
}

package config

import (
	"maps"
	"slices"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// State is the fold of a prefix of the stream. The zero State is that of the
// empty prefix. It is not safe for concurrent use.
type State struct {
	covered    platformlog.Offset
	lastChange platformlog.Offset
	schema     int // newest schema that the reader understands; 0 means Schema
	entries    map[ident.Service]*Entry
}

// NewState returns the state of the empty prefix for a reader that understands
// bodies up to the given schema.
func NewState(schema int) *State { return &State{schema: schema} }

// stateOf returns the state that a snapshot repeats.
func stateOf(s *Snapshot, schema int) *State {
	st := NewState(schema)
	st.covered = s.Covered
	st.lastChange = s.LastChange
	st.setEntries(s.Entries)
	return st
}

func (s *State) setEntries(entries []Entry) {
	s.entries = make(map[ident.Service]*Entry, len(entries))
	for i := range entries {
		s.entries[entries[i].Service] = &entries[i]
	}
}

// Covered is the offset of the last record that the state contains.
func (s *State) Covered() platformlog.Offset { return s.covered }

// Next is the offset of the next record to apply.
func (s *State) Next() platformlog.Offset { return s.covered + 1 }

// Entry returns the accepted change of a service, or nil.
func (s *State) Entry(svc ident.Service) *Entry { return s.entries[svc] }

// Version returns the version of a service, 0 if it has none.
func (s *State) Version(svc ident.Service) platformlog.Offset {
	if e := s.entries[svc]; e != nil {
		return e.Version
	}
	return 0
}

// Snapshot returns the state in the form of a snapshot. It shares the entries.
func (s *State) Snapshot() *Snapshot {
	snap := &Snapshot{
		Covered:    s.covered,
		LastChange: s.lastChange,
		Entries:    make([]Entry, 0, len(s.entries)),
	}
	for _, svc := range s.Services() {
		snap.Entries = append(snap.Entries, *s.entries[svc])
	}
	return snap
}

// Apply folds the record at offset into the state and returns its verdict. The
// records must be applied in the order of their offsets. Offset, time and
// payload decide the verdict; nothing else does.
func (s *State) Apply(offset platformlog.Offset, time int64, payload []byte) Verdict {
	v := Verdict{Offset: offset, Time: time}
	if offset <= s.covered {
		v.Outcome = AlreadyApplied
		return v
	}
	s.covered = offset
	change, err := DecodeChange(payload)
	if err != nil {
		v.Outcome = Undecodable
		v.Err = err
		return v
	}
	v.Change = change
	switch change.Kind {
	case KindSnapshot:
		v.Outcome = SnapshotRecord
	case KindReset:
		s.applyReset(&v)
	default:
		s.applyChange(&v)
	}
	return v
}

func (s *State) applyChange(v *Verdict) {
	c := v.Change
	s.lastChange = v.Offset
	current := s.entries[c.Service]
	if c.ExpectedVersion != s.Version(c.Service) {
		v.Outcome = Rejected
		v.CurrentEntry = current
		return
	}
	v.Outcome = Accepted
	e := &Entry{
		Service: c.Service,
		Version: v.Offset,
		Time:    v.Time,
		Author:  c.Author,
		Nonce:   c.Nonce,
		Kind:    c.Kind,
		Schema:  c.Schema,
		Body:    c.Body,
	}
	_, v.Err = e.decodeBody(s.knownSchema())
	if v.Err != nil {
		e.Understood = lastUnderstood(current, s.knownSchema())
	}
	s.put(e)
}

// applyReset replaces the state, unless a change or another reset stands
// between the offset that the reset is based on and the reset itself.
func (s *State) applyReset(v *Verdict) {
	snap, err := decodeSnapshot(v.Change)
	if err != nil {
		v.Outcome = Undecodable
		v.Err = err
		return
	}
	previous := s.lastChange
	s.lastChange = v.Offset
	if previous > snap.Covered {
		v.Outcome = Rejected
		return
	}
	v.Outcome = Accepted
	s.adoptReset(snap, v)
}

func (s *State) adoptReset(snap *Snapshot, v *Verdict) {
	for i := range snap.Entries {
		e := &snap.Entries[i]
		e.Version = v.Offset
		e.Time = v.Time
		e.Author = v.Change.Author
		e.Nonce = v.Change.Nonce
	}
	s.setEntries(snap.Entries)
}

func (s *State) put(e *Entry) {
	if s.entries == nil {
		s.entries = map[ident.Service]*Entry{}
	}
	s.entries[e.Service] = e
}

func (s *State) knownSchema() int {
	if s.schema == 0 {
		return Schema
	}
	return s.schema
}

// lastUnderstood returns the newest body of the service that the reader
// understands, or nil.
func lastUnderstood(e *Entry, schema int) []byte {
	if e == nil {
		return nil
	}
	if _, err := e.decodeBody(schema); err != nil {
		return e.Understood
	}
	return e.Body
}

// Services returns the services that were ever published, retired ones
// included, sorted.
func (s *State) Services() []ident.Service { return slices.Sorted(maps.Keys(s.entries)) }

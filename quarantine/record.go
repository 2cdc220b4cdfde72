package quarantine

import (
	"fmt"
	"slices"
)

//msgp:tuple Suspect Crash Conviction Record

// Suspect is a request that was in progress when a target crashed.
type Suspect struct {
	Print   Fingerprint
	Alone   bool // it was sent while no other request was in progress, or none was at the crash
	Cleared bool // requests of this content were served since
}

// Crash is the end of one incarnation of a target while requests were in progress.
type Crash struct {
	Target   string    // ID of the target
	Start    int64     // Unix milliseconds at which the target started
	At       int64     // Unix milliseconds of the crash
	Suspects []Suspect `msg:",limit=1024"`
}

// AddSuspect adds a request that was in progress, or another copy of one.
func (c *Crash) AddSuspect(s Suspect) {
	i, found := slices.BinarySearchFunc(c.Suspects, s, compareSuspects)
	switch {
	case found:
		c.Suspects[i].Alone = c.Suspects[i].Alone || s.Alone
	case len(c.Suspects) < MaxSuspects:
		c.Suspects = slices.Insert(c.Suspects, i, s)
	}
}

// Conviction is a request that no daemon sends to a target.
type Conviction struct {
	Print      Fingerprint
	At         int64 // Unix milliseconds
	Crashes    int   // targets that it had crashed
	ReleasedAt int64 // Unix milliseconds at which an operator released it, 0 if none did
}

// Released reports whether an operator has released the request since its conviction.
func (c *Conviction) Released() bool { return c.ReleasedAt >= c.At }

// Record is the evidence about the requests to the targets of one service, as it is
// exchanged and stored.
type Record struct {
	Schema      uint
	Crashes     []Crash      `msg:",limit=4096"`
	Convictions []Conviction `msg:",limit=65536"`
}

// recordSchema is the version of the encoding of Record.
const recordSchema = 1

// Encode returns the encoded record.
func (r *Record) Encode() []byte {
	r.Schema = recordSchema
	b, err := r.MarshalMsg(nil)
	if err != nil {
		panic("quarantine: cannot encode record: " + err.Error())
	}
	return b
}

// RecordError reports bytes that are not a record of this schema version.
type RecordError struct {
	Reason string
}

func (e *RecordError) Error() string {
	return fmt.Sprintf("quarantine: record: %s; it is ignored, check which program wrote it", e.Reason)
}

// Decode decodes a record. Its errors are of type *RecordError.
func Decode(b []byte) (*Record, error) {
	r := new(Record)
	if _, err := r.UnmarshalMsg(b); err != nil {
		return nil, &RecordError{Reason: err.Error()}
	}
	if r.Schema != recordSchema {
		return nil, &RecordError{Reason: fmt.Sprintf("schema %d is unknown", r.Schema)}
	}
	return r, nil
}

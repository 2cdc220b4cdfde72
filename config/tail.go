package config

import (
	"context"
	"errors"

	"github.com/parsleystack/parsleystack/platformlog"
)

// readLimit is the maximum number of records per read of a Tail.
const readLimit = 512

// Tail reads the stream up to its end and applies the records to a state. It is
// not safe for concurrent use.
type Tail struct {
	log     platformlog.Log
	state   *State
	replay  *replay
	from    platformlog.Offset
	onApply func(Verdict)
}

// NewTail returns a Tail that has read nothing. It passes the verdict on each
// record that it reads to onApply, which may be nil. Records that a snapshot
// covers get the outcome AlreadyApplied, since their effect can no longer be
// determined.
func NewTail(log platformlog.Log, onApply func(Verdict)) *Tail {
	t := &Tail{log: log, from: 1, onApply: onApply}
	t.restart()
	return t
}

func (t *Tail) restart() {
	t.state = nil
	t.replay = &replay{schema: Schema, onApply: t.onApply}
}

// ReadState reads the stream up to its end and returns the state.
func ReadState(ctx context.Context, log platformlog.Log) (*State, error) {
	t := NewTail(log, nil)
	if err := t.Advance(ctx); err != nil {
		return nil, err
	}
	return t.state, nil
}

// State returns the state after the last successful Advance.
func (t *Tail) State() *State { return t.state }

// End returns the offset of the last record read.
func (t *Tail) End() platformlog.Offset { return t.from - 1 }

// Advance reads the stream up to its end. It returns a *TruncatedError if the
// start of the stream has expired and no snapshot covers it.
func (t *Tail) Advance(ctx context.Context) error {
	for {
		atTail, err := t.readPage(ctx)
		if err != nil {
			return err
		}
		if atTail {
			return nil
		}
	}
}

func (t *Tail) readPage(ctx context.Context) (bool, error) {
	batch, err := t.log.Read(ctx, Stream, t.from, readLimit)
	var truncated *platformlog.TruncatedError
	if errors.As(err, &truncated) {
		t.from = truncated.Earliest
		t.restart()
		return false, nil
	}
	if err != nil {
		return false, err
	}
	from := t.from
	for _, rec := range batch.Records {
		t.applyRecord(rec)
		t.from = rec.Offset + 1
	}
	if !batch.AtTail(from) {
		return false, nil
	}
	if t.state == nil && batch.Next == 1 {
		t.state = NewState(Schema)
		t.replay = nil
	}
	if t.state == nil {
		return false, &TruncatedError{Earliest: batch.Earliest}
	}
	return true, nil
}

func (t *Tail) applyRecord(rec platformlog.Record) {
	if t.state == nil {
		t.state = t.replay.add(rec)
		return
	}
	v := t.state.Apply(rec.Offset, rec.Time, rec.Payload)
	if t.onApply != nil {
		t.onApply(v)
	}
}

package config

import (
	"context"
	"errors"

	"github.com/parsleystack/parsleystack/platformlog"
)

// readLimit is the number of records of one read of ReadState.
const readLimit = 512

// Tail reads the stream to its end and keeps the state up to date. It is not
// safe for concurrent use.
type Tail struct {
	log     platformlog.Log
	state   *State
	replay  *replay
	from    platformlog.Offset
	onApply func(Verdict)
}

// NewTail returns a Tail that has read nothing.
func NewTail(log platformlog.Log) *Tail {
	return &Tail{log: log, replay: &replay{schema: Schema}, from: 1}
}

// ReadState reads the stream to its end and returns the state.
func ReadState(ctx context.Context, log platformlog.Log) (*State, error) {
	t := NewTail(log)
	if err := t.Advance(ctx); err != nil {
		return nil, err
	}
	return t.state, nil
}

// State returns the state of the last successful Advance.
func (t *Tail) State() *State { return t.state }

// Advance reads on to the end of the stream. It returns a *GapError if the
// state can't be known.
func (t *Tail) Advance(ctx context.Context) error {
	for {
		atTail, err := t.page(ctx)
		if err != nil {
			return err
		}
		if atTail {
			return nil
		}
	}
}

func (t *Tail) page(ctx context.Context) (bool, error) {
	batch, err := t.log.Read(ctx, Stream, t.from, readLimit)
	var gap *platformlog.GapError
	if errors.As(err, &gap) {
		t.from = gap.Earliest
		t.state = nil
		t.replay = &replay{schema: Schema}
		return false, nil
	}
	if err != nil {
		return false, err
	}
	from := t.from
	for _, rec := range batch.Records {
		t.take(rec)
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
		return false, &GapError{Earliest: batch.Earliest}
	}
	return true, nil
}

func (t *Tail) take(rec platformlog.Record) {
	if t.state == nil {
		t.state = t.replay.add(rec)
		return
	}
	v := t.state.Apply(rec.Offset, rec.Time, rec.Payload)
	if t.onApply != nil {
		t.onApply(v)
	}
}

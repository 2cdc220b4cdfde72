package logtest

import (
	"bytes"
	"context"
	"time"

	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/platformlog/logwire"
)

// appendResult is the outcome of one append.
type appendResult struct {
	offset platformlog.Offset
	err    error
	hang   bool
	delay  time.Duration
}

// Append implements platformlog.Log.
func (l *Log) Append(ctx context.Context, name platformlog.Stream, payload []byte) (platformlog.Offset, error) {
	if err := ctx.Err(); err != nil {
		return 0, unavailable("append", name, err)
	}
	r := l.appendOnce(name, payload)
	if r.hang {
		<-ctx.Done()
		return 0, unknownOutcome(name, ctx.Err())
	}
	if err := sleep(ctx, r.delay); err != nil {
		return 0, unknownOutcome(name, err)
	}
	return r.offset, r.err
}

func (l *Log) appendOnce(name platformlog.Stream, payload []byte) appendResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceLocked()
	now := l.options.Now()
	r := appendResult{hang: l.faults.Hang, delay: l.faults.Slow}
	if r.hang {
		return r
	}
	if cause := l.refusalLocked(now, payload); cause != nil {
		r.err = unavailable("append", name, cause)
		return r
	}
	payload = bytes.Clone(payload)
	if l.chanceLocked(l.faults.LateRatio) {
		l.scheduleLateLocked(now, name, payload)
		r.err = unknownOutcome(name, ErrResponseLost)
		return r
	}
	r.offset = l.storeLocked(now, name, payload)
	if l.chanceLocked(l.faults.LostResponseRatio) {
		l.stats.LostResponses++
		r.offset = 0
		r.err = unknownOutcome(name, ErrResponseLost)
	}
	return r
}

// refusalLocked returns the reason to reject an append, or nil.
func (l *Log) refusalLocked(now time.Time, payload []byte) error {
	if l.faults.Outage {
		l.stats.Unavailable++
		return ErrOutage
	}
	if len(payload) > logwire.MaxPayloadBytes {
		return ErrPayloadSize
	}
	if !l.limiter.take(now) {
		l.stats.Refused++
		return ErrAppendRate
	}
	return nil
}

func (l *Log) scheduleLateLocked(now time.Time, name platformlog.Stream, payload []byte) {
	l.stats.LostResponses++
	due := now.Add(l.faults.Late)
	l.pending = append(l.pending, pendingAppend{due: due, stream: name, payload: payload})
	time.AfterFunc(l.faults.Late, l.Wake)
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func unavailable(op string, name platformlog.Stream, cause error) error {
	return &platformlog.UnavailableError{Op: op, Stream: name, Cause: cause}
}

func unknownOutcome(name platformlog.Stream, cause error) error {
	return &platformlog.UnknownOutcomeError{Stream: name, Cause: cause}
}

package logtest

import (
	"context"
	"errors"
	"time"

	"github.com/parsleystack/parsleystack/platformlog"
)

// Read implements platformlog.Log. A context whose deadline passes while the
// read waits for a first record ends the wait with an empty batch.
func (l *Log) Read(ctx context.Context, name platformlog.Stream, from platformlog.Offset, limit int) (platformlog.Batch, error) {
	return l.ReadWait(ctx, name, from, limit, l.options.LongPoll)
}

// ReadWait is Read with a long-poll time of its own.
func (l *Log) ReadWait(ctx context.Context, name platformlog.Stream, from platformlog.Offset, limit int, wait time.Duration) (platformlog.Batch, error) {
	if err := ctx.Err(); err != nil {
		return platformlog.Batch{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	expired := wait <= 0
	for {
		r := l.readNow(name, max(from, 1), limit, expired)
		if r.final {
			return r.finish(ctx)
		}
		select {
		case <-r.changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			if r.hang || !errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return platformlog.Batch{}, ctx.Err()
			}
			expired = true
		}
	}
}

// readResult is one look at a stream.
type readResult struct {
	batch   platformlog.Batch
	err     error
	slow    time.Duration
	final   bool
	hang    bool
	changed <-chan struct{}
}

func (r readResult) finish(ctx context.Context) (platformlog.Batch, error) {
	if err := sleep(ctx, r.slow); err != nil {
		return platformlog.Batch{}, err
	}
	return r.batch, r.err
}

// readNow looks at a stream once. The result is final if it holds records or
// an error, or if the wait is over.
func (l *Log) readNow(name platformlog.Stream, from platformlog.Offset, limit int, expired bool) readResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceLocked()
	r := readResult{slow: l.faults.Slow, changed: l.changed, hang: l.faults.Hang}
	if r.hang {
		return r
	}
	if l.faults.Outage {
		l.stats.Unavailable++
		r.err, r.final = unavailable("read", name, ErrOutage), true
		return r
	}
	s := l.streams[name]
	if s == nil {
		s = newStream()
	}
	if from < s.earliest {
		l.stats.Gaps++
		r.err, r.final = &platformlog.GapError{Stream: name, From: from, Earliest: s.earliest}, true
		return r
	}
	r.batch = s.batch(from, limit)
	r.final = expired || len(r.batch.Records) > 0
	if r.final {
		l.countReadLocked(r.batch)
	}
	return r
}

func (l *Log) countReadLocked(b platformlog.Batch) {
	l.stats.Reads++
	l.stats.ReadRecords += uint64(len(b.Records))
	for _, record := range b.Records {
		l.stats.ReadBytes += uint64(len(record.Payload))
	}
}

package logtest

import (
	"context"
	"errors"
	"time"

	"github.com/parsleystack/parsleystack/platformlog"
)

// Read implements platformlog.Log. If the deadline of ctx passes while the read
// waits for a first record, Read returns an empty batch and no error.
func (l *Log) Read(ctx context.Context, name platformlog.Stream, from platformlog.Offset, limit int) (platformlog.Batch, error) {
	return l.ReadWait(ctx, name, from, limit, l.options.LongPoll)
}

// ReadWait is Read with wait as the long-poll time.
func (l *Log) ReadWait(ctx context.Context, name platformlog.Stream, from platformlog.Offset, limit int, wait time.Duration) (platformlog.Batch, error) {
	if err := ctx.Err(); err != nil {
		return platformlog.Batch{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	expired := wait <= 0
	for {
		r := l.readOnce(name, max(from, 1), limit, expired)
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

// readResult is the result of checking a stream once for a read.
type readResult struct {
	batch   platformlog.Batch
	err     error
	delay   time.Duration
	final   bool
	hang    bool
	changed <-chan struct{}
}

func (r readResult) finish(ctx context.Context) (platformlog.Batch, error) {
	if err := sleep(ctx, r.delay); err != nil {
		return platformlog.Batch{}, err
	}
	return r.batch, r.err
}

// readOnce checks a stream once. The result is final if it has records or an
// error, or if the long-poll time has expired.
func (l *Log) readOnce(name platformlog.Stream, from platformlog.Offset, limit int, expired bool) readResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceLocked()
	r := readResult{delay: l.faults.Slow, changed: l.changed, hang: l.faults.Hang}
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
		l.stats.TruncatedReads++
		r.err, r.final = &platformlog.TruncatedError{Stream: name, From: from, Earliest: s.earliest}, true
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

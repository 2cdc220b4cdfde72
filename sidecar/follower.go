package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/metastore"
)

const (
	// minBackoff and maxBackoff bound the backoff after failed calls to the store.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// maxDoublings is above the number of doublings from minBackoff to maxBackoff.
	maxDoublings = 4
)

// follower reads one partition until the daemon stops: first the newest record of
// each key, then new records.
type follower struct {
	store     metastore.Store
	partition metastore.Partition
	log       *zap.Logger
	// pollTime returns how long a read may wait for a record.
	pollTime func() time.Duration
	// awaitRead, if set, waits until the next read is due and returns the offset of
	// the first record that was not applied.
	awaitRead func(ctx context.Context) metastore.Offset
	// apply receives what was read from an offset on, and when the read was sent.
	// snapshot is set if b has the newest record of each key.
	apply func(from metastore.Offset, b metastore.Batch, sent clock.Time, snapshot bool)

	next   metastore.Offset // of the next read
	loaded bool
}

// run reads until ctx ends.
func (f *follower) run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		if err := f.readOnce(ctx); err != nil {
			var truncated *metastore.TruncatedError
			if errors.As(err, &truncated) {
				logevent.Log(f.log, logevent.StoreHistoryTruncated, zap.String("topic", f.partition.Topic), zap.Int64("first", int64(truncated.First)))
				f.loaded = false
				continue
			}
			failures++
			if failures == 1 {
				logevent.Log(f.log, logevent.StoreCallFailed, zap.String("topic", f.partition.Topic), zap.Int64("offset", int64(f.next)), zap.Error(err))
			}
			sleep(ctx, backoff(failures))
			continue
		}
		failures = 0
	}
	return nil
}

func (f *follower) readOnce(ctx context.Context) error {
	sent := clock.Now()
	if !f.loaded {
		b, err := f.store.Newest(ctx, f.partition)
		if err != nil {
			return err
		}
		f.next, f.loaded = b.End, true
		f.apply(0, b, sent, true)
		return nil
	}
	if f.awaitRead != nil {
		f.next = max(f.next, f.awaitRead(ctx))
		sent = clock.Now()
	}
	b, err := f.store.Read(ctx, f.partition, f.next, f.pollTime())
	if err != nil {
		return err
	}
	if b.End < f.next {
		f.loaded = false // the partition was replaced by a shorter one
		sleep(ctx, jittered(maxBackoff))
		return nil
	}
	from := f.next
	if n := len(b.Records); n > 0 {
		f.next = b.Records[n-1].Offset + 1
	}
	f.apply(from, b, sent, false)
	return nil
}

// backoff returns the jittered pause after a number of failed calls in a row. It
// doubles from minBackoff up to maxBackoff.
func backoff(failures int) time.Duration {
	return jittered(min(minBackoff<<min(failures-1, maxDoublings), maxBackoff))
}

func jittered(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

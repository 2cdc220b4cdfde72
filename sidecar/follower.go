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
	// minPause and maxPause bound the pause after a failed call to the store.
	minPause = 100 * time.Millisecond
	maxPause = 800 * time.Millisecond
	// maxDoublings is above the doublings that lead from minPause to maxPause.
	maxDoublings = 4
)

// follower reads one partition for as long as the daemon lives: the newest
// record of each key first, then records as they come.
type follower struct {
	store     metastore.Store
	partition metastore.Partition
	log       *zap.Logger
	// wait is how long a read may wait for a record.
	wait func() time.Duration
	// pause, if set, waits until the next read is due, and returns from where on
	// records are missing.
	pause func(ctx context.Context) metastore.Offset
	// take gets what was read from an offset on, and when the read was sent.
	// whole is set for the newest record of each key.
	take func(from metastore.Offset, b metastore.Batch, sent clock.Time, whole bool)

	next   metastore.Offset
	loaded bool
}

// run reads until ctx ends.
func (f *follower) run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			var gone *metastore.GoneError
			if errors.As(err, &gone) {
				logevent.Log(f.log, logevent.StoreHistoryTruncated, zap.String("topic", f.partition.Topic), zap.Int64("first", int64(gone.First)))
				f.loaded = false
				continue
			}
			failures++
			if failures == 1 {
				logevent.Log(f.log, logevent.StoreCallFailed, zap.String("topic", f.partition.Topic), zap.Int64("offset", int64(f.next)), zap.Error(err))
			}
			sleep(ctx, pauseAfter(failures))
			continue
		}
		failures = 0
	}
	return nil
}

func (f *follower) step(ctx context.Context) error {
	sent := clock.Now()
	if !f.loaded {
		b, err := f.store.Newest(ctx, f.partition)
		if err != nil {
			return err
		}
		f.next, f.loaded = b.End, true
		f.take(0, b, sent, true)
		return nil
	}
	if f.pause != nil {
		f.next = max(f.next, f.pause(ctx))
		sent = clock.Now()
	}
	b, err := f.store.Read(ctx, f.partition, f.next, f.wait())
	if err != nil {
		return err
	}
	if b.End < f.next {
		f.loaded = false // another history
		sleep(ctx, jittered(maxPause))
		return nil
	}
	from := f.next
	if n := len(b.Records); n > 0 {
		f.next = b.Records[n-1].Offset + 1
	}
	f.take(from, b, sent, false)
	return nil
}

// pauseAfter returns the pause after a number of failed calls in a row. It
// doubles from minPause up to maxPause.
func pauseAfter(failures int) time.Duration {
	return jittered(min(minPause<<min(failures-1, maxDoublings), maxPause))
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

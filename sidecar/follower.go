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
// each key, then new records. When the store enters a later era, it starts anew.
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
	// loads counts how often the newest records were loaded since the last successful
	// read after them.
	loads int
}

// run reads until ctx ends.
func (f *follower) run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		err := f.readOnce(ctx)
		if era, _ := f.store.Era(); f.loaded && f.next.Era() < era {
			logevent.Log(f.log, logevent.EraChanged, zap.String("topic", f.partition.Topic), zap.Uint32("era", uint32(era)), zap.Int64("offset", f.next.Position()), zap.Error(err))
			f.loaded, failures = false, 0
			continue
		}
		if err != nil {
			var truncated *metastore.TruncatedError
			if errors.As(err, &truncated) {
				logevent.Log(f.log, logevent.StoreHistoryTruncated, zap.String("topic", f.partition.Topic), zap.Int64("first", truncated.First.Position()))
				f.loaded = false
				if f.loads > 1 {
					sleep(ctx, backoff(f.loads-1)) // the store refuses the offset that it has just named
				}
				continue
			}
			failures++
			if failures == 1 {
				logevent.Log(f.log, logevent.StoreCallFailed, zap.String("topic", f.partition.Topic), zap.Int64("offset", f.next.Position()), zap.Error(err))
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
		f.loads++
		f.apply(0, b, sent, true)
		return nil
	}
	if f.awaitRead != nil {
		f.next = max(f.next, f.awaitRead(ctx))
		sent = clock.Now()
	}
	ctx, cancel := f.untilLaterEra(ctx)
	defer cancel()
	b, err := f.store.Read(ctx, f.partition, f.next, f.pollTime())
	if err != nil {
		return err
	}
	f.loads = 0
	from := f.next
	if n := len(b.Records); n > 0 {
		f.next = b.Records[n-1].Offset + 1
	}
	f.apply(from, b, sent, false)
	return nil
}

// untilLaterEra returns a context that ends when an answer to another call states a
// later era than that of the next read. A read that waits in the earlier one would
// otherwise show the change only when it is answered.
func (f *follower) untilLaterEra(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	era, later := f.store.Era()
	if era > f.next.Era() {
		cancel()
		return ctx, cancel
	}
	go func() {
		select {
		case <-later:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
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

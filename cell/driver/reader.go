package driver

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/platformlog"
)

// reader follows the cell's stream by long polls.
type reader struct {
	cfg  Config
	post func(context.Context, cell.Event)
	next atomic.Uint64
	kick chan struct{}

	caughtUp bool // the end of the stream was reached once
}

func newReader(cfg Config, post func(context.Context, cell.Event)) *reader {
	r := &reader{cfg: cfg, post: post, kick: make(chan struct{}, 1)}
	r.next.Store(1)
	return r
}

// from sets the offset of the next read. It moves forwards only, but for a
// start from a snapshot, which sets it once.
func (r *reader) from(o platformlog.Offset) {
	if o > 0 {
		r.next.Store(uint64(o))
	}
}

// wake ends a pause after a failed read.
func (r *reader) wake() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

func (r *reader) run(ctx context.Context) error {
	var lastRead platformlog.Offset
	for ctx.Err() == nil {
		from := platformlog.Offset(r.next.Load())
		if from < lastRead {
			from = lastRead
		}
		next, err := r.readOnce(ctx, from)
		if err != nil {
			r.pause(ctx)
			continue
		}
		lastRead = next
	}
	return nil
}

// readOnce performs one read and returns the offset to go on from.
func (r *reader) readOnce(ctx context.Context, from platformlog.Offset) (platformlog.Offset, error) {
	rctx, cancel := context.WithTimeout(ctx, r.timeout())
	defer cancel()
	started := clock.Now()
	batch, err := r.cfg.Log.Read(rctx, r.cfg.Stream, from, readLimit)
	if gap, ok := errors.AsType[*platformlog.GapError](err); ok {
		r.post(ctx, cell.LogGap{From: from, Earliest: gap.Earliest})
		return gap.Earliest, nil
	}
	if err != nil {
		return from, err
	}
	r.post(ctx, cell.LogRead{Started: started, From: from, Batch: batch})
	r.caughtUp = r.caughtUp || batch.AtTail(from)
	if n := len(batch.Records); n > 0 {
		return batch.Records[n-1].Offset + 1, nil
	}
	return from, nil
}

// timeout bounds a read with its long poll. Until the end of the stream was
// reached once it is short: a process must know that there is nothing more to
// read before it announces itself, even in an empty stream.
func (r *reader) timeout() time.Duration {
	if r.caughtUp {
		return r.cfg.ReadTimeout
	}
	return r.cfg.FirstReadTimeout
}

func (r *reader) pause(ctx context.Context) {
	timer := time.NewTimer(r.cfg.ReadBackoff)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.kick:
	}
}

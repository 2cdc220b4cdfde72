package driver

import (
	"context"
	"errors"
	"sync"
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

	mu     sync.Mutex
	quick  bool               // the next read must not wait for a record
	cancel context.CancelFunc // ends the long poll in progress; nil if there is none
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

// wake asks for a read that does not wait for a record. It ends a long poll in
// progress, since that proves nothing of the end of the stream before it
// returns, and a pause after a failed read.
func (r *reader) wake() {
	r.mu.Lock()
	r.quick = true
	if r.cancel != nil {
		r.cancel()
		r.cancel = nil
	}
	r.mu.Unlock()
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
		if errors.Is(err, context.Canceled) {
			continue
		}
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
	rctx, cancel := r.begin(ctx)
	defer cancel()
	started := clock.Now()
	batch, err := r.cfg.Log.Read(rctx, r.cfg.Stream, from, readLimit)
	if gap, ok := errors.AsType[*platformlog.GapError](err); ok {
		r.post(ctx, cell.LogTruncated{From: from, Earliest: gap.Earliest})
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

// begin returns the context of the next read. Until the end of the stream was
// reached once, and when wake has asked for it, the read is short: a process
// must know that there is nothing more to read before it announces itself or
// begins a recovery, even in a stream that gets no record. Any other read is a
// long poll that wake ends.
func (r *reader) begin(ctx context.Context) (context.Context, context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.quick || !r.caughtUp {
		r.quick, r.cancel = false, nil
		return context.WithTimeout(ctx, r.cfg.QuickReadTimeout)
	}
	rctx, cancel := context.WithTimeout(ctx, r.cfg.ReadTimeout)
	r.cancel = cancel
	return rctx, cancel
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

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

// reader reads the cell's stream by long polling.
type reader struct {
	cfg        Config
	post       func(context.Context, cell.Event)
	nextOffset atomic.Uint64
	wakeup     chan struct{}

	caughtUp bool // a read has reached the end of the stream

	mu        sync.Mutex
	shortRead bool               // the next read must not wait for new records
	cancel    context.CancelFunc // cancels the long poll in progress; nil if there is none
}

func newReader(cfg Config, post func(context.Context, cell.Event)) *reader {
	r := &reader{cfg: cfg, post: post, wakeup: make(chan struct{}, 1)}
	r.nextOffset.Store(1)
	return r
}

// setNextOffset sets the offset of the next read. The offset only increases,
// except that a start from a snapshot sets it once. An offset of 0 is ignored.
func (r *reader) setNextOffset(o platformlog.Offset) {
	if o > 0 {
		r.nextOffset.Store(uint64(o))
	}
}

// wake requests a read that does not wait for new records. It cancels a long
// poll in progress, since that confirms the end of the stream only when it
// returns, and it ends the pause after a failed read.
func (r *reader) wake() {
	r.mu.Lock()
	r.shortRead = true
	if r.cancel != nil {
		r.cancel()
		r.cancel = nil
	}
	r.mu.Unlock()
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

func (r *reader) run(ctx context.Context) error {
	var lastRead platformlog.Offset
	for ctx.Err() == nil {
		from := platformlog.Offset(r.nextOffset.Load())
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

// readOnce performs one read and returns the offset of the next one.
func (r *reader) readOnce(ctx context.Context, from platformlog.Offset) (platformlog.Offset, error) {
	readCtx, cancel := r.readContext(ctx)
	defer cancel()
	started := clock.Now()
	batch, err := r.cfg.Log.Read(readCtx, r.cfg.Stream, from, readLimit)
	if truncated, ok := errors.AsType[*platformlog.TruncatedError](err); ok {
		r.post(ctx, cell.LogTruncated{From: from, Earliest: truncated.Earliest})
		return truncated.Earliest, nil
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

// readContext returns the context of the next read. The read is short until the
// end of the stream has been reached for the first time, and after a call of
// wake: before a process announces itself or begins a recovery, it must have
// confirmed that there are no more records, even in a stream to which none are
// added. Any other read is a long poll that wake cancels.
func (r *reader) readContext(ctx context.Context) (context.Context, context.CancelFunc) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.shortRead || !r.caughtUp {
		r.shortRead, r.cancel = false, nil
		return context.WithTimeout(ctx, r.cfg.ShortReadTimeout)
	}
	readCtx, cancel := context.WithTimeout(ctx, r.cfg.ReadTimeout)
	r.cancel = cancel
	return readCtx, cancel
}

func (r *reader) pause(ctx context.Context) {
	timer := time.NewTimer(r.cfg.ReadBackoff)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-r.wakeup:
	}
}

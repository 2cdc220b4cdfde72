package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/metastore"
)

// startJitter spreads the first appends of daemons that start together.
const startJitter = 60 * time.Millisecond

// memberWriter keeps this daemon's own record in the store up to date. Only the
// newest revision is written; writing one twice has no effect.
type memberWriter struct {
	d       *Daemon
	pending chan fleet.Member // the newest record that is not written yet
}

func newMemberWriter(d *Daemon) *memberWriter {
	return &memberWriter{d: d, pending: make(chan fleet.Member, 1)}
}

// request schedules m to be written in place of an earlier one that is not written
// yet. Only the control goroutine calls it.
func (w *memberWriter) request(m fleet.Member) {
	select {
	case <-w.pending:
	default:
	}
	w.pending <- m
}

// run writes requested records until ctx ends.
func (w *memberWriter) run(ctx context.Context) error {
	sleep(ctx, jittered(startJitter))
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-w.pending:
			w.write(ctx, m)
		}
	}
}

// write appends m, retrying until the store accepts it. If a newer record is
// requested meanwhile, it writes that one instead.
func (w *memberWriter) write(ctx context.Context, m fleet.Member) {
	record := metastore.Record{Key: memberPrefix + m.Instance, Value: m.Encode()}
	for failures := 1; ctx.Err() == nil; failures++ {
		err := w.d.store.Append(ctx, w.d.directory, []metastore.Record{record})
		if err == nil {
			w.d.control.do(func() { w.d.control.recordStored(m.Incarnation, m.Revision) })
			return
		}
		if failures == 1 {
			logevent.Log(w.d.log, logevent.StoreCallFailed, zap.String("record", record.Key), zap.Error(err))
		}
		select {
		case newer := <-w.pending:
			m = newer
			record.Value = m.Encode()
		default:
		}
		sleep(ctx, backoff(failures))
	}
}

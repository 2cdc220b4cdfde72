package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/metastore"
)

// startSpread scatters the first records of daemons that start together.
const startSpread = 60 * time.Millisecond

// memberWriter keeps the own record in the store up to date. Only the newest
// one is written; a repeat of a record changes nothing.
type memberWriter struct {
	d      *Daemon
	wanted chan fleet.Member // holds the newest record that is not written yet
}

func newMemberWriter(d *Daemon) *memberWriter {
	return &memberWriter{d: d, wanted: make(chan fleet.Member, 1)}
}

// request asks for m to be written. Only the control goroutine calls it.
func (w *memberWriter) request(m fleet.Member) {
	select {
	case <-w.wanted:
	default:
	}
	w.wanted <- m
}

// run writes until ctx ends.
func (w *memberWriter) run(ctx context.Context) error {
	sleep(ctx, jittered(startSpread))
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-w.wanted:
			w.write(ctx, m)
		}
	}
}

// write appends m until the store has taken it or a newer one is wanted.
func (w *memberWriter) write(ctx context.Context, m fleet.Member) {
	record := metastore.Record{Key: memberPrefix + m.Instance, Value: m.Encode()}
	for failures := 1; ctx.Err() == nil; failures++ {
		err := w.d.store.Append(ctx, w.d.directory, []metastore.Record{record})
		if err == nil {
			return
		}
		if failures == 1 {
			logevent.Log(w.d.log, logevent.StoreCallFailed, zap.String("record", record.Key), zap.Error(err))
		}
		select {
		case newer := <-w.wanted:
			m = newer
			record.Value = m.Encode()
		default:
		}
		sleep(ctx, pauseAfter(failures))
	}
}

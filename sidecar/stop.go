package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/logevent"
)

// stop makes the daemon not ready, ends what it has read and returns. While the
// callers of this instance go elsewhere, the target still gets work that ends in
// time. Then it gets no more, and for a while its calls are served. At last
// nothing new is taken, and what waits for an owner is refused.
func (d *Daemon) stop() {
	begun := clock.Now()
	limit := begun.Add(d.settings().GraceTime - stopMargin)
	d.backend.endsAt.Store(int64(limit))
	logevent.Log(d.log, logevent.SidecarStopping, zap.Int("in_flight", d.ingress.inFlight()))
	d.control.do(func() { d.control.beginStop() })
	d.ingress.closing.Store(true)
	time.Sleep(readyNotice)
	d.backend.close()
	waitUntil(begun.Add(readyNotice+targetNotice), func() bool { return !d.backend.busy() })
	d.ingress.refusing.Store(true)
	waitUntil(limit, func() bool { return d.ingress.inFlight() == 0 && !d.backend.busy() })
	ctx, cancel := context.WithTimeout(context.Background(), max(limit.Sub(clock.Now()), stopPoll))
	defer cancel()
	if err := d.ingress.server.ShutdownWithContext(ctx); err != nil {
		logevent.Log(d.log, logevent.StopIncomplete, zap.Int("in_flight", d.ingress.inFlight()), zap.Error(err))
	}
}

// waitUntil waits for a condition, until a time at the latest.
func waitUntil(end clock.Time, done func() bool) {
	for clock.Now().Before(end) && !done() {
		time.Sleep(stopPoll)
	}
}

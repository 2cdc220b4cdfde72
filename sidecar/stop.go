package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/logevent"
)

// stop shuts the daemon down gracefully in three phases. In the first, the daemon is
// not ready, so that callers switch to other daemons; it still serves requests, and
// the target gets those that finish in time. In the second, the target gets no more
// requests, but calls of the target are still served. In the last, new requests and
// those that wait for an owner are refused, and the running ones finish.
func (d *Daemon) stop() {
	start := clock.Now()
	limit := start.Add(d.settings().GraceTime - stopMargin)
	d.backend.stopDeadline.Store(int64(limit))
	logevent.Log(d.log, logevent.SidecarStopping, zap.Int("in_flight", d.ingress.inFlight()))
	d.control.do(func() { d.control.announceStop() })
	d.ingress.closeConns.Store(true)
	time.Sleep(callerDrainTime)
	d.backend.close()
	waitUntil(start.Add(callerDrainTime+targetDrainTime), func() bool { return !d.backend.busy() })
	d.ingress.refusing.Store(true)
	waitUntil(limit, func() bool { return d.ingress.inFlight() == 0 && !d.backend.busy() })
	ctx, cancel := context.WithTimeout(context.Background(), max(limit.Sub(clock.Now()), stopPoll))
	defer cancel()
	if err := d.ingress.server.ShutdownWithContext(ctx); err != nil {
		logevent.Log(d.log, logevent.StopIncomplete, zap.Int("in_flight", d.ingress.inFlight()), zap.Error(err))
	}
}

// waitUntil polls until done reports true or the time end is reached.
func waitUntil(end clock.Time, done func() bool) {
	for clock.Now().Before(end) && !done() {
		time.Sleep(stopPoll)
	}
}

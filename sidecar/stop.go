package sidecar

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/logevent"
)

// lastAnswersTime bounds the wait for the answers to requests that are aborted at the end.
const lastAnswersTime = 100 * time.Millisecond

// stop shuts the daemon down gracefully in four phases. In the first, the daemon is
// not ready, so that callers switch to other daemons; it still serves requests, and
// the target gets those that finish in time. In the second, the target gets no more
// requests, but calls of the target are still served. In the third, new requests and
// those that wait for an owner are refused, the running ones finish, and callers read their
// responses. In the last, those that are still in progress are aborted and answered.
func (d *Daemon) stop() {
	s := newStopSchedule(clock.Now(), d.settings().GraceTime)
	d.stopping.Store(s)
	logevent.Log(d.log, logevent.SidecarStopping, zap.Int("in_flight", d.ingress.inFlight()))
	d.control.do(func() { d.control.announceStop() })
	d.ingress.server.Drain()
	time.Sleep(s.closes.Sub(clock.Now()))
	d.backend.close()
	waitUntil(s.refuses, func() bool { return !d.backend.busy() })
	d.ingress.refusing.Store(true)
	waitUntil(s.ends, func() bool { return d.ingress.inFlight() == 0 && !d.backend.busy() && !d.ingress.server.Writing() })
	if n := d.ingress.abortAll(errStopping); n > 0 {
		logevent.Log(d.log, logevent.StopIncomplete, zap.Int("in_flight", n), zap.Error(errStopping))
		waitUntil(clock.Now().Add(lastAnswersTime), func() bool { return d.ingress.inFlight() == 0 })
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.exitStep(lastAnswersTime, clock.Now()))
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

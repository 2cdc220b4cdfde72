package sidecar

import (
	"errors"
	"net"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/quarantine"
)

const (
	// lossSettleTime is the time after the loss of a request in which the others that a
	// crash interrupts are lost, too.
	lossSettleTime = 3 * time.Millisecond
	// crashDialTimeout bounds the connection attempt that tells a crashed target from one
	// that has closed connections.
	crashDialTimeout = 100 * time.Millisecond
	// crashPushWait bounds the time that the loss of a request is not reported to its entry
	// because other daemons do not know of the crash yet.
	crashPushWait = 30 * time.Millisecond
	// maxLoggedSuspects bounds the requests in a line about a crash.
	maxLoggedSuspects = 40
)

// crashCheck finds out whether a target that has lost requests has crashed.
type crashCheck struct {
	done    chan struct{}
	crashed bool
}

// content returns what the request has in common with repeats of it. It is valid while the
// request is.
func (r *targetRequest) content() quarantine.Content { return requestContent(r.req) }

// awaitCrashCheck waits until it is known whether the loss of a request means that the
// target has crashed, and until the other daemons of the service know.
func (b *backend) awaitCrashCheck(t *runTracker) (crashed bool) {
	t.mu.Lock()
	check := t.check
	if check == nil {
		check = &crashCheck{done: make(chan struct{})}
		t.check = check
		go b.checkCrash(t, check)
	}
	t.mu.Unlock()
	<-check.done
	return check.crashed
}

// checkCrash decides a check. A target on which other requests are still in progress has
// not crashed; one that accepts connections has closed those of the lost requests.
func (b *backend) checkCrash(t *runTracker, check *crashCheck) {
	defer close(check.done)
	time.Sleep(lossSettleTime)
	t.mu.Lock()
	t.check = nil
	check.crashed = t.crashed
	t.mu.Unlock()
	if check.crashed || t.running() > 0 {
		return
	}
	conn, err := net.DialTimeout("tcp", b.d.settings().TargetAddr, crashDialTimeout)
	if err == nil {
		_ = conn.Close() // nothing was sent on it
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	check.crashed = true
	crash, ok := b.targetCrashed(t, clock.Now().Add(-lostTogether-crashDialTimeout))
	if !ok {
		return
	}
	known := make(chan struct{})
	b.d.control.do(func() { b.d.control.observeCrash(crash, known) })
	select {
	case <-known:
	case <-time.After(crashPushWait):
	}
}

// targetCrashed logs the crash of an incarnation of the target, which came after a time, and
// returns the evidence. It reports false if that was done before, or if there is none.
func (b *backend) targetCrashed(t *runTracker, after clock.Time) (quarantine.Crash, bool) {
	suspects, ok := t.crash(after)
	if !ok || len(suspects) == 0 {
		return quarantine.Crash{}, false
	}
	crash := quarantine.Crash{Target: t.target.ID, Start: t.target.StartTime, At: time.Now().UnixMilli()}
	var requests []string
	for i := range suspects {
		s := &suspects[i]
		if s.frequent {
			continue
		}
		crash.AddSuspect(quarantine.Suspect{Print: s.print, Alone: s.alone || len(suspects) == 1})
		if len(requests) < maxLoggedSuspects {
			requests = append(requests, s.requestID+"="+s.print.String())
		}
	}
	b.d.metrics.count(metricTargetCrashes)
	logevent.Log(b.d.log, logevent.TargetCrashed, zap.String("target", t.target.ID), zap.Int64("born", t.target.StartTime),
		zap.Int("in_progress", len(suspects)), zap.Strings("requests", requests))
	return crash, len(crash.Suspects) > 0
}

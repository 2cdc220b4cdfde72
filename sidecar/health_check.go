package sidecar

import (
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/coldstart"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/target"
)

// healthCheckTimeout bounds a health check. Targets that state their load respond to it at
// once.
const healthCheckTimeout = 500 * time.Millisecond

// Results of health checks, for the metric.
const (
	healthWarm        = "warm"
	healthCold        = "cold"
	healthNoStatement = "no-statement"
	healthOtherTarget = "other-target"
	healthFailed      = "failed"
)

// errOtherTarget means that the response to a health check names another target.
var errOtherTarget = errors.New("the response to a health check is another target's; the next heartbeat tells which one it is")

// checkCold follows the time for the cold start of the target, and sends a health check to the
// path if one is due. Only the control goroutine calls it.
func (b *backend) checkCold(path string, now clock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldChanged(now)
	c := &b.cold
	c.tracker.AwaitCheck(false)
	current := b.incarnation.Load()
	if current == nil || current.state != fleet.TargetReady || path == "" || !c.statesLoad || c.checking || b.closing.Load() || b.evacuated.Load() {
		return
	}
	if !c.tracker.CheckDue(now) || c.tracker.State(now).Evidence == coldstart.ConnectionClosed && len(b.tickets) == 0 {
		return
	}
	if b.queue.CheckWait(now) > 0 {
		c.tracker.AwaitCheck(true)
		return
	}
	c.checking = true
	b.nextID++
	id := b.nextID
	b.queue.StartCheck(id, now)
	c.tracker.CheckSent(now)
	go b.healthCheck(current, path, id)
}

// healthCheck sends one health check and applies what the target states. id is that of the
// item for the pace of the cold target.
func (b *backend) healthCheck(current *targetIncarnation, path string, id uint64) {
	s := b.d.settings()
	requestID := fmt.Sprintf("health-%s-%d-%d", s.Instance, time.Now().UnixMilli(), id)
	var req fasthttp.Request
	var resp fasthttp.Response
	platform.BuildHealthCheck(&req, s.TargetAddr, path, requestID, s.Service, current.target, healthCheckTimeout)
	call := target.Call{
		Request: &req, Response: &resp, Deadline: time.Now().Add(healthCheckTimeout), ID: []byte(requestID),
		BeforeWrite: func() error { b.writtenToTarget(id); return nil },
		Accept:      func(resp *fasthttp.Response) bool { return platform.AnswersHealthCheck(resp, requestID) },
	}
	sent := clock.Now()
	_, err := current.client.Do(&call)
	defer call.Release()
	result := healthFailed
	if err == nil {
		b.answeredByTarget(id)
		result, err = b.applyHealth(current, &resp, sent)
	} else {
		b.doubtColdAfter(current, err)
	}
	b.endHealthCheck(id)
	b.d.metrics.countHealthCheck(result)
	if err != nil {
		logevent.Log(b.d.log, logevent.HealthCheckFailed, zap.String("target", current.target.ID), zap.String("result", result), zap.Error(err))
	}
}

// applyHealth applies the response to a health check that was sent at a time.
func (b *backend) applyHealth(current *targetIncarnation, resp *fasthttp.Response, sent clock.Time) (result string, err error) {
	h, err := platform.ReadHealth(resp)
	switch {
	case h.TargetID != "" && h.TargetID != current.target.ID:
		b.doubtCold(current, coldstart.TargetReplaced)
		return healthOtherTarget, errOtherTarget
	case err != nil:
		return healthFailed, err
	case b.incarnation.Load().target != current.target:
		return healthOtherTarget, nil
	}
	if load, ok := platform.ReadLoad(&resp.Header); ok {
		b.observeServerLoad(load)
	}
	b.observeCold(coldstart.Statement{Source: coldstart.HealthCheck, Stated: h.ColdStated, Remaining: h.Cold, Sent: sent}, clock.Now())
	switch {
	case !h.ColdStated:
		return healthNoStatement, nil
	case h.Cold > 0:
		return healthCold, nil
	}
	return healthWarm, nil
}

func (b *backend) endHealthCheck(id uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cold.checking = false
	now := clock.Now()
	b.cold.tracker.Ended(id, now)
	b.applyDecisions(b.queue.Advance(now))
	b.scheduleAdvance(now)
}

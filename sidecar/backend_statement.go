package sidecar

import (
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/ownertable"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/ratelimit"
	"github.com/parsleystack/parsleystack/wire"
)

// statementLogInterval is the shortest time between two lines about changed limits, or
// about malformed statements. A target in need may state another limit in each response.
const statementLogInterval = time.Second

// statementState is what the local target has stated about itself. backend.mu guards it.
type statementState struct {
	limit          ratelimit.Stated
	answered       bool       // this process knows from a response whether there is a limit
	leavingSince   clock.Time // when its departure was learned of; Never if it has stated none
	nextChangeLog  clock.Time
	nextIgnoredLog clock.Time
}

// observeResponse applies what the target states about itself in its response to r,
// which was sent no earlier than sent.
func (b *backend) observeResponse(r *targetRequest, sent clock.Time) {
	if platform.WrongTarget(&r.httpResp) {
		return // another target at the same address may have sent it
	}
	if load, ok := platform.ReadLoad(&r.httpResp.Header); ok {
		b.observeServerLoad(load)
	}
	a, err := platform.ReadStatement(r.httpResp.Header.All())
	now := clock.Now()
	if b.applyResponse(r, a, err, sent, now) {
		b.leavingStated(r.req.RequestID, r.incarnation.target, now)
	}
}

// applyResponse applies a response's statement, which was read with the given error.
// It reports whether the response is the first that states the target's departure.
func (b *backend) applyResponse(r *targetRequest, a platform.Statement, err error, sent, now clock.Time) (leaves bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.incarnation.Load().target != r.incarnation.target {
		return false
	}
	b.stated.answered = b.stated.answered || a.Limited || !a.Malformed
	if err != nil {
		b.ignoreStatement(r, err, now)
	}
	if a.Limited || !a.Malformed {
		b.observeLimit(r.req.RequestID, ratelimit.Stated{Limited: a.Limited, Rate: a.Rate}, sent, now)
	}
	if !a.Leaving || b.stated.leavingSince != clock.Never {
		return false
	}
	b.setLeavingSince(now)
	return true
}

// leavingStated makes the target leave that has stated its departure in the response to a
// request. since is when it was learned of. The caller does not hold b.mu.
func (b *backend) leavingStated(requestID []byte, t ownertable.Target, since clock.Time) {
	logevent.Log(b.d.log, logevent.TargetStatesLeaving, zap.ByteString("request", requestID), zap.String("target", t.ID), zap.Duration("ago", clock.Now().Sub(since)))
	b.d.control.do(func() { b.d.control.targetStatesLeaving(t, since) })
}

// adoptStatement applies what the entry of a request knows of the target from a response
// that an earlier process of this daemon has forwarded. A limit in the responses that this
// process receives itself is newer; a departure is final.
func (b *backend) adoptStatement(req *wire.Request) {
	value := statementField(req.Headers)
	if value == nil {
		return
	}
	now := clock.Now()
	s, err := decodeStatement(value, now)
	if err != nil {
		b.d.metrics.count(metricStatementsIgnored)
		return // of another version of the daemon; the response to this request tells what holds
	}
	if b.applyForwarded(s, req.RequestID, now) {
		b.leavingStated(req.RequestID, s.target, s.leavingSince)
	}
}

// applyForwarded applies what the entry of a request knows of the target. It reports whether
// that the target leaves is new.
func (b *backend) applyForwarded(s *targetStatement, requestID []byte, now clock.Time) (leaves bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if current := b.incarnation.Load(); current == nil || current.target != s.target {
		return false
	}
	if s.limited && !b.stated.answered {
		b.observeLimit(requestID, ratelimit.Stated{Limited: true, Rate: s.rate}, clock.Never, now)
	}
	if s.leavingSince == clock.Never || b.stated.leavingSince != clock.Never && !s.leavingSince.Before(b.stated.leavingSince) {
		return false
	}
	leaves = b.stated.leavingSince == clock.Never
	b.setLeavingSince(s.leavingSince)
	return leaves
}

// statement returns what the local target has stated about itself. The daemon must know the
// target.
func (b *backend) statement() targetStatement {
	b.mu.Lock()
	defer b.mu.Unlock()
	return targetStatement{target: b.incarnation.Load().target, limited: b.stated.limit.Limited, rate: b.stated.limit.Rate, leavingSince: b.stated.leavingSince}
}

// observeLimit applies the limit in the response to a request, or its absence, and paces
// the requests to the target by it. The caller holds b.mu.
func (b *backend) observeLimit(requestID []byte, stated ratelimit.Stated, sent, now clock.Time) {
	s := &b.stated
	old := s.limit
	if !s.limit.Observe(stated.Limited, stated.Rate, sent, now) {
		return
	}
	if s.limit.Limited {
		b.applyDecisions(b.queue.SetRateLimit(s.limit.Rate, now))
	} else {
		b.applyDecisions(b.queue.RemoveRateLimit(now))
	}
	b.scheduleAdvance(now)
	if old.Limited && s.limit.Limited && now.Before(s.nextChangeLog) {
		return
	}
	s.nextChangeLog = now.Add(statementLogInterval)
	fields := []zap.Field{zap.ByteString("request", requestID), zap.String("target", b.incarnation.Load().target.ID), zap.Bool("limited", s.limit.Limited)}
	if s.limit.Limited {
		fields = append(fields, zap.Float64("per_second", s.limit.Rate))
	}
	if old.Limited {
		fields = append(fields, zap.Float64("previous_per_second", old.Rate))
	}
	logevent.Log(b.d.log, logevent.TargetLimitChanged, fields...)
}

// ignoreStatement logs and counts a statement that can't be read. The caller holds
// b.mu.
func (b *backend) ignoreStatement(r *targetRequest, err error, now clock.Time) {
	b.d.metrics.count(metricStatementsIgnored)
	if now.Before(b.stated.nextIgnoredLog) {
		return
	}
	b.stated.nextIgnoredLog = now.Add(statementLogInterval)
	logevent.Log(b.d.log, logevent.StatementIgnored, zap.ByteString("request", r.req.RequestID), zap.String("target", r.incarnation.target.ID), zap.Error(err))
}

// scheduleAdvance arranges that the queue is advanced when the rate limit lets the next
// waiting request start. The caller holds b.mu.
func (b *backend) scheduleAdvance(now clock.Time) {
	wait, ok := b.queue.NextStart(now)
	if !ok {
		return
	}
	wait = max(wait, minAdvanceWait)
	if at := now.Add(wait); b.advanceAt == clock.Never || at.Before(b.advanceAt) { // a more urgent request may start earlier
		b.advanceAt = at
		time.AfterFunc(wait, b.advance)
	}
}

// advance advances the queue at the time that scheduleAdvance has set.
func (b *backend) advance() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	b.advanceAt = clock.Never
	b.applyDecisions(b.queue.Advance(now))
	b.scheduleAdvance(now)
}

// minAdvanceWait bounds the rate of advances by scheduleAdvance.
const minAdvanceWait = time.Millisecond

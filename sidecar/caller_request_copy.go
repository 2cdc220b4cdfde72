package sidecar

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/hedge"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/quarantine"
	"github.com/parsleystack/parsleystack/resend"
	"github.com/parsleystack/parsleystack/wire"
)

// requestCopy is a second copy of a request, due while the first one is in progress. The copy
// has its own request and response, and memory of its own, since it may end after the response
// to the caller. The goroutine of the request's connection decides what becomes of both.
type requestCopy struct {
	first  *callerRequest // used only while the request is not concluded
	source wire.Request   // the caller's request; its memory is valid until the request is concluded
	timer  *time.Timer
	done   chan struct{} // closed when the copy has ended

	mu        sync.Mutex
	concluded bool           // the outcome of the request is decided
	second    *callerRequest // nil until the copy is sent
	ended     bool
	attempt   resend.Attempt // of the copy, if it has ended
	answered  bool           // the copy had a usable response before the first one
}

// attemptWithCopy sends the request to a target, and to another one as well if the first one
// does not respond in time, and returns the next action.
func (f *callerRequest) attemptWithCopy(t *targetView, deadline clock.Time) resend.Action {
	started := clock.Now()
	c := f.planCopy(deadline)
	a := f.send(t)
	if c == nil || !c.wasSent() {
		f.recordAttempt(t, &a, deadline)
		f.observeTime(&a, started)
		return f.resends.Next(a, clock.Now())
	}
	b, copyFirst := c.conclude(&a)
	f.tried = append(f.tried, c.second.lastTarget)
	f.ingress.hedges.observeCopy(f.route.Name, copyFirst)
	if copyFirst {
		if !t.local { // its latency is not reported, so the value would stay
			t.load.raiseLatency(clock.Now().Sub(started), f.route.Objective)
		}
		f.lastTarget = c.second.lastTarget
		f.observeTime(b, started)
		return f.resends.Next(*b, clock.Now())
	}
	f.observeTime(&a, started)
	if b != nil {
		f.recordAttempt(c.second.lastTarget, b, deadline)
	}
	if a.Result.Kind == outcome.Done {
		return f.resends.Next(a, clock.Now())
	}
	f.recordAttempt(t, &a, deadline)
	return f.resends.NextOfTwo(a, *b, clock.Now())
}

// observeTime records how long the target took, if it responded or had its time.
func (f *callerRequest) observeTime(a *resend.Attempt, started clock.Time) {
	gaveUp := a.Result.Kind == outcome.Unknown && (a.Result.Reason == outcome.DeadlineExceeded || a.Result.Reason == outcome.ConnectionLost)
	if f.service.Keyed || !f.route.Idempotent || !gaveUp && !usable(a, &f.resp) {
		return
	}
	f.ingress.hedges.observe(f.route.Name, clock.Now().Sub(started))
}

// usable reports whether the caller has the best response with this one. A response with which
// the target reports a failure of its own is kept until the other copy has ended.
func usable(a *resend.Attempt, resp *wire.Response) bool {
	return a.Result.Kind == outcome.Done && resp.Status < http.StatusInternalServerError
}

// planCopy starts the time after which a second copy is sent. It returns nil if the request
// gets none.
func (f *callerRequest) planCopy(deadline clock.Time) *requestCopy {
	if f.ingress.refuses() {
		return nil
	}
	delay, refusal := f.ingress.hedges.delay(&hedge.Request{
		Route: f.route.Name, Idempotent: f.route.Idempotent, Keyed: f.service.Keyed, LargeResponse: f.route.LargeResponses,
		Suspected: f.evidence.Verdict() != quarantine.Unsuspected, AttemptsLeft: f.resends.TargetsLeft(), Body: len(f.req.Body), Left: deadline.Sub(clock.Now()),
	})
	if refusal != hedge.None {
		return nil
	}
	c := &requestCopy{first: f, source: f.req, done: make(chan struct{})}
	c.source.Headers = f.req.Headers[:f.callerHeaders]
	c.timer = time.AfterFunc(delay, c.run)
	return c
}

// run sends the copy if that is allowed now, and waits until it has ended.
func (c *requestCopy) run() {
	t := c.admit()
	if t == nil {
		return
	}
	a := c.second.send(t)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(c.done)
	c.ended, c.attempt = true, a
	c.second.cancel(nil)
	switch {
	case c.concluded:
		c.second.resp.Release()
	case usable(&a, &c.second.resp):
		c.answered = true
		c.first.abort(errAnsweredElsewhere)
	}
}

// admit returns the target of the copy and sets c.second, or returns nil if none is sent.
func (c *requestCopy) admit() *targetView {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.concluded || context.Cause(c.first.ctx) != nil {
		return nil
	}
	f := c.first
	second := f.copyOf(&c.source)
	t, refusal := second.chooseForCopy()
	if refusal != hedge.None {
		second.cancel(nil)
		f.ingress.d.metrics.countHedgeRefused(refusal)
		logevent.Log(f.ingress.d.log, logevent.CopyRefused, zap.String("request", f.headers.RequestID), zap.Stringer("reason", refusal))
		return nil
	}
	f.budgetedTargets++
	second.lastTarget, c.second = t, second
	second.setTimes()
	f.ingress.d.metrics.count(metricHedgeSent)
	logevent.Log(f.ingress.d.log, logevent.CopySent, zap.String("request", f.headers.RequestID), zap.String("daemon", string(t.instance)), zap.Duration("after", clock.Now().Sub(f.arrived)))
	return t
}

// copyOf returns a second copy of the request, whose bytes are those of source. It ends with
// the request.
func (f *callerRequest) copyOf(source *wire.Request) *callerRequest {
	g := &callerRequest{
		ingress: f.ingress, conn: f.conn, arrived: f.arrived, deadline: f.deadline, headers: f.headers, route: f.route,
		configVersion: f.configVersion, service: f.service, req: *source, tried: f.tried, spareOnly: true, callerHeaders: len(source.Headers),
	}
	g.ctx, g.cancel = context.WithCancelCause(f.ctx)
	g.req.Method, g.req.URI, g.req.Body = bytes.Clone(source.Method), bytes.Clone(source.URI), bytes.Clone(source.Body)
	g.req.Headers = make([]wire.Header, len(source.Headers), len(source.Headers)+1)
	for i, h := range source.Headers {
		g.req.Headers[i] = wire.Header{Name: bytes.Clone(h.Name), Value: bytes.Clone(h.Value)}
	}
	return g
}

// chooseForCopy returns the target for a second copy, and takes the copy from the operators'
// limit and the retry budget.
func (f *callerRequest) chooseForCopy() (*targetView, hedge.Refusal) {
	f.findEvidence()
	t, _ := f.chooseTarget()
	in := f.ingress
	state := hedge.State{
		Route: f.route.Name, CallerLeft: f.callerLeft(), Suspected: f.evidence.Verdict() != quarantine.Unsuspected,
		Left: in.d.stopping.Load().limit(f.deadline).Sub(clock.Now()), Spare: t != nil && !in.refuses(),
	}
	if t != nil && !t.local {
		state.LinkBacklog = in.d.egress.Backlog() + in.d.egress.Duration(len(f.req.Body))
	}
	if refusal := in.hedges.admit(state); refusal != hedge.None {
		return nil, refusal
	}
	if !in.spendRetry(f.service.Name, in.d.control.view.Load().daemons) {
		in.hedges.withdraw()
		return nil, hedge.Budget
	}
	return t, hedge.None
}

// wasSent reports whether the copy was sent. If not, it won't be.
func (c *requestCopy) wasSent() bool {
	c.timer.Stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.concluded = c.second == nil
	return !c.concluded
}

// conclude decides the request after the attempt of its first copy has ended. If that one has
// no usable response, it waits for the other copy. It returns the attempt of the copy, nil if
// that is canceled, and whether its response is the request's one from now on.
func (c *requestCopy) conclude(a *resend.Attempt) (b *resend.Attempt, copyFirst bool) {
	f, m := c.first, c.first.ingress.d.metrics
	c.mu.Lock()
	if !c.ended && !usable(a, &f.resp) {
		c.mu.Unlock()
		<-c.done // it ends at the deadline of the request at the latest
		c.mu.Lock()
	}
	defer c.mu.Unlock()
	c.concluded = true
	if !c.ended {
		c.second.cancel(errAnsweredElsewhere)
		m.count(metricHedgeCanceled)
		logevent.Log(f.ingress.d.log, logevent.CopyCanceled, zap.String("request", f.headers.RequestID))
		return nil, false
	}
	resp := &c.second.resp
	copyFirst = c.answered || usable(&c.attempt, resp) || c.attempt.Result.Kind == outcome.Done && a.Result.Kind != outcome.Done
	switch {
	case !copyFirst && context.Cause(f.ctx) != nil: // both were canceled
		resp.Release()
		m.count(metricHedgeCanceled)
		return &c.attempt, false
	case !copyFirst:
		resp.Release()
		m.count(metricHedgeFailed)
		return &c.attempt, false
	}
	f.resp.Release()
	f.resp, *resp = *resp, wire.Response{}
	m.count(metricHedgeWon)
	logevent.Log(f.ingress.d.log, logevent.CopyAnswered, zap.String("request", f.headers.RequestID), zap.String("daemon", string(c.second.lastTarget.instance)))
	return &c.attempt, true
}

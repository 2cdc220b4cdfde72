package sidecar

import (
	"bytes"
	"context"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/callerhttp"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/connprobe"
	"github.com/parsleystack/parsleystack/httpfield"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/quarantine"
	"github.com/parsleystack/parsleystack/recvlimit"
	"github.com/parsleystack/parsleystack/resend"
	"github.com/parsleystack/parsleystack/routetable"
	"github.com/parsleystack/parsleystack/wire"
	"github.com/parsleystack/parsleystack/workqueue"
)

const (
	// defaultTimeout is the time to the deadline of requests whose callers set none.
	defaultTimeout = 10 * time.Second
	// retryNotReady is the Retry-After of a daemon that has no configuration for the
	// request yet.
	retryNotReady = 300 * time.Millisecond
	// retryStopping is the Retry-After of a stopping daemon. The caller may retry at
	// any daemon.
	retryStopping = 20 * time.Millisecond
	// maxWirePriority is the wire priority that the configured priority 0 maps to.
	maxWirePriority = 255
)

// callerRequest is one request of a caller, with its attempts.
type callerRequest struct {
	ingress         *ingress
	exchange        *callerhttp.Exchange
	httpCtx         *fasthttp.RequestCtx
	conn            net.Conn
	ctx             context.Context
	cancel          context.CancelCauseFunc
	arrived         clock.Time    // when its last bytes arrived, if the kernel tells; else when it was read
	unread          time.Duration // from then until it was read
	behind          bool          // earlier requests of its connection were in progress then
	waited          time.Duration // from then until it was begun, if it was behind others
	bodyTooLarge    bool          // its body was not read
	deadline        clock.Time
	headers         platform.RequestHeaders
	route           *routetable.Route
	configVersion   routetable.Version
	service         routetable.Service
	resends         resend.Request
	req             wire.Request
	resp            wire.Response
	tried           []*targetView
	owner           ident.Instance // owner of the key at the last attempt
	budgetedTargets int            // value of resends.Reached for which the retry budget was last charged
	lastTarget      *targetView
	print           quarantine.Fingerprint // valid if there is evidence
	evidence        quarantine.Evidence    // against the request, at the last attempt
	callerHeaders   int                    // length of req.Headers without fields that differ between attempts
	run             bool                   // it is a call that a run at the local target makes
	spareOnly       bool                   // only targets with free slots are chosen
}

func newCallerRequest(in *ingress, x *callerhttp.Exchange) *callerRequest {
	f := &callerRequest{ingress: in, exchange: x, httpCtx: &x.Ctx, conn: x.Ctx.Conn()}
	f.ctx, f.cancel = context.WithCancelCause(context.Background())
	return f
}

// abort ends the request with a cause. It may be called at any time.
func (f *callerRequest) abort(cause error) { f.cancel(cause) }

// callerLeft reports whether the caller has closed its connection, and aborts the request if
// so.
func (f *callerRequest) callerLeft() bool {
	if !connprobe.PeerClosed(f.conn) {
		return false
	}
	f.abort(errCallerDisconnected)
	return true
}

// parse reads the headers and looks up the route. If the request cannot be served,
// it responds and reports false.
func (f *callerRequest) parse() bool {
	h := &f.httpCtx.Request.Header
	v := f.ingress.d.control.view.Load()
	headers, err := platform.ReadRequestHeaders(h)
	f.headers = headers
	if err != nil {
		return f.rejectHeaders(err)
	}
	if f.ingress.refuses() {
		f.respond(outcome.Result{Kind: outcome.NotRun, Reason: outcome.Draining, RetryAfter: retryStopping})
		return false
	}
	if f.headers.HasTimeout && f.headers.Timeout == 0 {
		f.respond(outcome.Result{Kind: outcome.NotRun, Reason: outcome.DeadlineExceeded})
		return false
	}
	if v.routes == nil {
		return f.rejectNotReady()
	}
	f.configVersion = v.routes.Version()
	var ok bool
	f.route, ok = v.routes.Lookup(string(h.Host()), string(originForm(h.RequestURI())))
	if !ok {
		return f.rejectIfConfirmed(v, fasthttp.StatusNotFound, outcome.UnknownRoute)
	}
	limits := v.routes.Limits()
	if f.bodyTooLarge || limits.BodyBytes > 0 && len(f.httpCtx.Request.Body()) > limits.BodyBytes {
		return f.rejectIfConfirmed(v, fasthttp.StatusRequestEntityTooLarge, outcome.BodyTooLarge)
	}
	f.service, err = v.routes.PickService(f.route, f.headers.HasKey, random())
	switch {
	case errors.Is(err, routetable.ErrKeyRequired):
		// The caller may have sent it by an earlier version, under which it was proper.
		f.respond(outcome.Result{Kind: outcome.NotRun, Reason: outcome.MissingKey, RetryAfter: retryNotReady})
		return false
	case err != nil:
		return f.rejectNotReady()
	}
	f.buildRequest()
	if !clock.Now().Before(f.deadline) { // it was read too late
		f.respond(outcome.Result{Kind: outcome.NotRun, Reason: outcome.DeadlineExceeded})
		return false
	}
	return true
}

func (f *callerRequest) rejectNotReady() bool {
	f.respond(outcome.Result{Kind: outcome.NotRun, Reason: outcome.NotReady, RetryAfter: retryNotReady})
	return false
}

// buildRequest builds the request that is sent to the target's daemon.
func (f *callerRequest) buildRequest() {
	h := &f.httpCtx.Request.Header
	timeout := defaultTimeout
	if f.headers.HasTimeout {
		timeout = f.headers.Timeout
	}
	f.deadline = f.arrived.Add(min(timeout, f.route.Timeout))
	f.resends.Constraints = resend.Constraints{
		Keyed: f.service.Keyed, Idempotent: f.route.Idempotent, MaxAttempts: f.route.MaxAttempts,
		Arrived: f.arrived, Objective: f.route.Objective, Deadline: f.deadline,
	}
	f.req = wire.Request{
		Service: f.service.Name, Keyed: f.service.Keyed, Point: keyspace.Point(f.headers.Key),
		Priority:   uint8(maxWirePriority - min(max(f.route.Priority, 0), maxWirePriority)),
		Idempotent: f.route.Idempotent, Method: h.Method(), URI: originForm(h.RequestURI()), RequestID: []byte(f.headers.RequestID),
		Class: []byte(f.route.Name), Caller: f.ingress.d.settings().Service, Body: f.httpCtx.Request.Body(),
		LargeResponse: f.route.LargeResponses,
		BodyKept:      len(f.httpCtx.Request.Body()) > recvlimit.FreeBytes, // callerhttp uses the memory of smaller ones again
	}
	named := httpfield.Value(h, fasthttp.HeaderConnection)
	for name, value := range h.All() {
		if singleHop(name) || isLinkHeader(name) || httpfield.ListedInConnection(named, name) || platform.IsDaemonHeader(string(name)) {
			continue
		}
		f.req.Headers = append(f.req.Headers, wire.Header{Name: name, Value: value})
	}
	if run, ok := f.ingress.d.backend.runOfCall(f.headers.RequestID); ok {
		f.inherit(run)
	}
	f.callerHeaders = len(f.req.Headers)
}

// singleHop reports whether a header field applies to one connection only.
func singleHop(name []byte) bool {
	return httpfield.HopByHop(name) || httpfield.ContentLength(name) || bytes.EqualFold(name, []byte(fasthttp.HeaderExpect))
}

// serve makes attempts until the request is finished, and responds.
func (f *callerRequest) serve() {
	timer := time.AfterFunc(f.deadline.Sub(clock.Now()), func() { f.abort(errTimeout) })
	defer timer.Stop()
	defer f.cancel(nil)
	f.ingress.countFirstSend(f.service.Name)
	f.ingress.hedges.countRequest()
	action := f.attempt()
	for action.Kind != resend.Finish {
		action = f.resendOrFinish(action)
	}
	f.respond(action.Result)
}

// resendOrFinish executes an action and returns the next one.
func (f *callerRequest) resendOrFinish(a resend.Action) resend.Action {
	resending := a.Resend && f.budgetedTargets < f.resends.Reached() // the budget is charged once for each target reached
	if resending && !f.ingress.spendRetry(f.service.Name, f.ingress.d.control.view.Load().daemons) {
		f.ingress.d.metrics.count(metricBudgetDenied)
		return f.resends.OutOfBudget()
	}
	if resending {
		f.budgetedTargets = f.resends.Reached()
		f.ingress.d.metrics.count(metricResent)
		logevent.Log(f.ingress.d.log, logevent.RequestResent, zap.String("request", f.headers.RequestID), zap.Int("reached", f.resends.Reached()))
	}
	if a.Kind == resend.AwaitOwner && a.Pause > 0 {
		f.awaitView(a.Pause)
		if f.ingress.refuses() {
			return f.resends.Stop(retryStopping)
		}
	}
	if cause := context.Cause(f.ctx); cause != nil {
		return f.resends.Next(resend.Attempt{Result: f.abortedResult(cause, false)}, f.deadline)
	}
	return f.attempt()
}

// awaitView waits for a new view, the end of the pause or the end of the request.
func (f *callerRequest) awaitView(pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.ingress.d.nextView():
	case <-f.ctx.Done():
	}
}

// attempt sends the request once and returns the next action.
func (f *callerRequest) attempt() resend.Action {
	if f.findEvidence(); f.evidence.Verdict() == quarantine.Quarantined {
		return f.resends.Next(resend.Attempt{Result: outcome.Result{Kind: outcome.NotRun, Reason: outcome.Quarantined, RetryAfter: retryQuarantined}}, clock.Now())
	}
	if f.callerLeft() { // before the request was read, or while it waited
		return f.resends.Next(resend.Attempt{Result: f.abortedResult(context.Cause(f.ctx), false)}, clock.Now())
	}
	t, pending := f.chooseTarget()
	if t == nil {
		return f.resends.NoCandidate(pending, clock.Now())
	}
	f.lastTarget = t
	f.tried = append(f.tried, t)
	f.resp.Release()
	f.resp.Reset()
	deadline := f.setTimes()
	if f.ingress.hedges != nil {
		return f.attemptWithCopy(t, deadline)
	}
	a := f.send(t)
	f.recordAttempt(t, &a, deadline)
	return f.resends.Next(a, clock.Now())
}

// setTimes sets the times of the request that count from now on, and returns its deadline.
func (f *callerRequest) setTimes() clock.Time {
	now := clock.Now()
	deadline := f.ingress.d.stopping.Load().limit(f.deadline)
	f.req.Timeout = deadline.Sub(now)
	f.req.Objective = f.arrived.Add(f.route.Objective).Sub(now)
	return deadline
}

// recordAttempt logs an attempt without a response, and sets when its caller may retry if this
// daemon stops before the request's own deadline.
func (f *callerRequest) recordAttempt(t *targetView, a *resend.Attempt, deadline clock.Time) {
	if a.Result.Kind == outcome.NotRun && deadline != f.deadline {
		a.Result.RetryAfter = retryStopping // another daemon can wait for longer
	}
	if a.Result.Kind != outcome.Done {
		logevent.Log(f.ingress.d.log, logevent.AttemptRefused, zap.String("request", f.headers.RequestID), zap.String("daemon", string(t.instance)),
			zap.Stringer("outcome", a.Result.Kind), zap.Stringer("reason", a.Result.Reason), zap.Bool("reached", a.Reached))
	}
}

// findEvidence looks up the evidence against the request.
func (f *callerRequest) findEvidence() {
	f.print, f.evidence = f.ingress.d.findEvidence(&f.req)
}

// send sends the request to one target through its daemon.
func (f *callerRequest) send(t *targetView) resend.Attempt {
	t.load.inFlight.Add(1)
	if t.local {
		c := &canceler{callerLeft: f.callerLeft}
		stop := context.AfterFunc(f.ctx, c.Cancel)
		f.ingress.d.backend.serve(&f.req, &f.resp, c, workqueue.Link{})
		stop()
		return f.attemptResult()
	}
	f.addStatement(t)
	f.req.ResponseBytes = f.ingress.responses.expected(f.route.Name)
	sent, err := f.ingress.d.peerLinks.Do(f.ctx, t.addr, &f.req, &f.resp)
	f.countVerdict(sent, err)
	if err != nil {
		t.load.inFlight.Add(-1)
		if cause := context.Cause(f.ctx); cause != nil {
			return resend.Attempt{Result: f.abortedResult(cause, sent), Reached: sent}
		}
		result := outcome.Result{Kind: outcome.NotRun, Reason: outcome.ConnectionLost, RetryAfter: retryRefused}
		if _, noRoom := recvlimit.Exceeded(err); noRoom {
			result.Reason = outcome.Overloaded
		}
		if sent {
			result.Kind = outcome.Unknown
		}
		return resend.Attempt{Result: result, Reached: sent}
	}
	t.load.observeResponse(&f.resp)
	if f.resp.Kind == outcome.Done {
		t.load.observeStatement(f.resp.Headers, clock.Now())
		f.ingress.responses.observe(f.route.Name, len(f.resp.Body))
	}
	return f.attemptResult()
}

// countVerdict counts what the target's daemon has answered to a request that was canceled
// after it was sent to it.
func (f *callerRequest) countVerdict(sent bool, err error) {
	cause := context.Cause(f.ctx)
	switch {
	case cause == nil || !sent || verdictWait(cause) == 0:
	case err != nil:
		f.ingress.d.metrics.countVerdict("none")
	default:
		f.ingress.d.metrics.countVerdict(f.resp.Kind.String())
	}
}

// addStatement adds to the request what the target has stated to this daemon.
func (f *callerRequest) addStatement(t *targetView) {
	f.req.Headers = f.req.Headers[:f.callerHeaders]
	if s := t.load.stated.Load(); s != nil && s.target == t.target && len(f.req.Headers) < wire.MaxHeaders {
		f.req.Headers = append(f.req.Headers, wire.Header{Name: statementHeader, Value: s.encode(clock.Now())})
	}
}

// abortedResult returns the result of a request that ended because its caller
// disconnected or its deadline passed.
func (f *callerRequest) abortedResult(cause error, sent bool) outcome.Result {
	r := outcome.Result{Kind: outcome.NotRun, Reason: outcome.DeadlineExceeded, RetryAfter: retryRefused}
	switch {
	case errors.Is(cause, errCallerDisconnected):
		r.Reason = outcome.Canceled
	case errors.Is(cause, errStopping):
		r.Reason, r.RetryAfter = outcome.Draining, retryStopping
	}
	if sent {
		r.Kind = outcome.Unknown
	}
	return r
}

// attemptResult returns the result of an attempt from the response of its daemon.
func (f *callerRequest) attemptResult() resend.Attempt {
	a := resend.Attempt{Result: f.resp.Result()}
	if !usableResponse(&f.resp) {
		a.Result = outcome.Result{Kind: outcome.Unknown, Reason: outcome.UnusableResponse}
	}
	switch {
	case a.Result.Kind != outcome.NotRun:
		a.Reached = true
	case a.Result.Reason == outcome.TargetShed, a.Result.Reason == outcome.LeaseExpired:
		a.Reached = true
	}
	if cause := context.Cause(f.ctx); cause != nil && a.Result.Kind != outcome.Done {
		refusal := a.Result
		a.Result = f.abortedResult(cause, refusal.Kind != outcome.NotRun)
		a.Result.RetryAfter = max(a.Result.RetryAfter, refusal.RetryAfter) // the target may have named it
	}
	return a
}

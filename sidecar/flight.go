package sidecar

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/httpfield"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/resend"
	"github.com/parsleystack/parsleystack/routetable"
	"github.com/parsleystack/parsleystack/wire"
)

const (
	// defaultPatience is assumed of callers that state no deadline.
	defaultPatience = 10 * time.Second
	// retryNotReady is when callers of a daemon without a configuration may come
	// back.
	retryNotReady = 300 * time.Millisecond
	// retryStopping is when callers of a stopping daemon may come back, to any
	// daemon.
	retryStopping = 20 * time.Millisecond
	// maxUrgency is the wire priority of the operator's priority 0.
	maxUrgency = 255
)

// flight is one request of a caller.
type flight struct {
	in       *ingress
	http     *fasthttp.RequestCtx
	ctx      context.Context
	cancel   context.CancelCauseFunc
	arrived  clock.Time
	deadline clock.Time
	envelope platform.Envelope
	route    *routetable.Route
	version  routetable.Version
	service  routetable.Service
	state    resend.Request
	req      wire.Request
	resp     wire.Response
	tried    []*targetView
	owner    ident.Instance // of the key, as of the last attempt
	paid     int            // targets reached for which the budget was asked
	last     *targetView
}

func newFlight(in *ingress, ctx *fasthttp.RequestCtx) *flight {
	f := &flight{in: in, http: ctx, arrived: clock.Now()}
	f.ctx, f.cancel = context.WithCancelCause(context.Background())
	return f
}

// end stops the request. It may be called at any time.
func (f *flight) end(cause error) { f.cancel(cause) }

// read finds the route and what the headers say. It answers and reports false
// if the request can't be served.
func (f *flight) read() bool {
	h := &f.http.Request.Header
	v := f.in.d.control.view.Load()
	envelope, ok := platform.ReadEnvelope(h)
	f.envelope = envelope
	if !ok {
		return f.reject(fasthttp.StatusBadRequest, outcome.BadRequest)
	}
	if f.in.refusing.Load() {
		f.write(outcome.Result{Kind: outcome.NotRun, Reason: outcome.Draining, RetryAfter: retryStopping})
		return false
	}
	if v.routes == nil {
		return f.unready()
	}
	f.version = v.routes.Version()
	f.route, ok = v.routes.Lookup(string(h.Host()), string(h.RequestURI()))
	if !ok {
		if v.behind {
			return f.unready()
		}
		return f.reject(fasthttp.StatusNotFound, outcome.UnknownService)
	}
	limits := v.routes.Limits()
	if limits.BodyBytes > 0 && len(f.http.Request.Body()) > limits.BodyBytes {
		return f.reject(fasthttp.StatusRequestEntityTooLarge, outcome.BadRequest)
	}
	if f.service, ok = v.routes.Service(f.route.Cluster(random())); !ok {
		return f.unready()
	}
	if f.service.Keyed && !f.envelope.HasKey {
		return f.reject(fasthttp.StatusBadRequest, outcome.BadRequest)
	}
	f.fill()
	return true
}

func (f *flight) reject(status int, reason outcome.Reason) bool {
	f.http.SetStatusCode(status)
	platform.SetRequestID(&f.http.Response.Header, f.envelope.RequestID)
	f.log(logevent.RequestRefused, outcome.Result{Kind: outcome.NotRun, Reason: reason}, status)
	return false
}

func (f *flight) unready() bool {
	f.write(outcome.Result{Kind: outcome.NotRun, Reason: outcome.NotReady, RetryAfter: retryNotReady})
	return false
}

// fill makes the request as it goes to the target's daemon.
func (f *flight) fill() {
	h := &f.http.Request.Header
	patience := f.envelope.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	f.deadline = f.arrived.Add(min(patience, f.route.Timeout))
	f.state.Rule = resend.Rule{
		Keyed: f.service.Keyed, Idempotent: f.route.Idempotent, MaxAttempts: f.route.MaxAttempts,
		Arrived: f.arrived, Objective: f.route.Objective, Deadline: f.deadline,
	}
	f.req = wire.Request{
		Service: f.service.Name, Keyed: f.service.Keyed, Point: keyspace.Point(f.envelope.Key),
		Priority:   uint8(maxUrgency - min(max(f.route.Priority, 0), maxUrgency)),
		Idempotent: f.route.Idempotent, Method: h.Method(), URI: h.RequestURI(), RequestID: []byte(f.envelope.RequestID),
		Class: []byte(f.route.Name), Caller: f.in.d.settings().Service, Body: f.http.Request.Body(),
	}
	named := h.Peek(fasthttp.HeaderConnection)
	for name, value := range h.All() {
		if singleHop(name) || httpfield.ListedInConnection(named, name) || platform.SetByDaemon(string(name)) {
			continue
		}
		f.req.Headers = append(f.req.Headers, wire.Header{Name: name, Value: value})
	}
}

// singleHop reports whether a field concerns one connection only.
func singleHop(name []byte) bool {
	return httpfield.HopByHop(name) || httpfield.ContentLength(name) || bytes.EqualFold(name, []byte(fasthttp.HeaderExpect))
}

// serve has the request run and answers it.
func (f *flight) serve() {
	timer := time.AfterFunc(f.deadline.Sub(clock.Now()), func() { f.end(errTimeout) })
	defer timer.Stop()
	defer f.cancel(nil)
	f.in.countRequest(f.service.Name)
	action := f.attempt()
	for action.Kind != resend.Finish {
		action = f.next(action)
	}
	f.write(action.Result)
	f.resp.Release()
}

// next carries out a decision and decides again.
func (f *flight) next(a resend.Action) resend.Action {
	again := a.Resend && f.paid < f.state.Reached() // asked once for each target reached
	if again && !f.in.spend(f.service.Name, f.in.d.control.view.Load().daemons) {
		f.in.d.metrics.count(metricBudgetDenied)
		return f.state.OutOfBudget()
	}
	if again {
		f.paid = f.state.Reached()
		f.in.d.metrics.count(metricResent)
		logevent.Log(f.in.d.log, logevent.RequestResent, zap.String("request", f.envelope.RequestID), zap.Int("reached", f.state.Reached()))
	}
	if a.Kind == resend.AwaitOwner && a.Pause > 0 {
		f.await(a.Pause)
		if f.in.refusing.Load() {
			return f.state.Stop(retryStopping)
		}
	}
	if cause := context.Cause(f.ctx); cause != nil {
		return f.state.Next(resend.Attempt{Result: f.ended(cause, false)}, f.deadline)
	}
	return f.attempt()
}

// await waits for a pause, a new view or the end of the request.
func (f *flight) await(pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.in.d.nextView():
	case <-f.ctx.Done():
	}
}

// attempt sends the request once and decides what follows.
func (f *flight) attempt() resend.Action {
	t, coming := f.choose()
	if t == nil {
		return f.state.Unplaced(coming, clock.Now())
	}
	f.last = t
	f.tried = append(f.tried, t)
	now := clock.Now()
	f.req.Timeout = f.deadline.Sub(now)
	f.req.Objective = f.arrived.Add(f.route.Objective).Sub(now)
	f.resp.Release()
	f.resp.Reset()
	a := f.send(t)
	if a.Result.Kind != outcome.Done {
		logevent.Log(f.in.d.log, logevent.AttemptRefused, zap.String("request", f.envelope.RequestID), zap.String("daemon", string(t.instance)),
			zap.Stringer("outcome", a.Result.Kind), zap.Stringer("reason", a.Result.Reason), zap.Bool("reached", a.Reached))
	}
	return f.state.Next(a, clock.Now())
}

// send has one target's daemon run the request.
func (f *flight) send(t *targetView) resend.Attempt {
	t.load.inFlight.Add(1)
	if t.local {
		c := new(canceler)
		stop := context.AfterFunc(f.ctx, c.Cancel)
		f.in.d.backend.serve(&f.req, &f.resp, c)
		stop()
		t.load.inFlight.Store(int64(f.resp.InFlight))
		return f.result()
	}
	sent, err := f.in.d.links.Do(f.ctx, t.addr, &f.req, &f.resp)
	if err != nil {
		t.load.inFlight.Add(-1)
		if cause := context.Cause(f.ctx); cause != nil {
			return resend.Attempt{Result: f.ended(cause, sent), Reached: sent}
		}
		kind := outcome.NotRun
		if sent {
			kind = outcome.Unknown
		}
		return resend.Attempt{Result: outcome.Result{Kind: kind, Reason: outcome.ConnectionLost, RetryAfter: retryMoved}, Reached: sent}
	}
	t.load.inFlight.Store(int64(f.resp.InFlight))
	t.load.limit.Store(int64(f.resp.Capacity))
	return f.result()
}

// ended is the result of a request that its caller or its deadline ended.
func (f *flight) ended(cause error, sent bool) outcome.Result {
	r := outcome.Result{Kind: outcome.NotRun, Reason: outcome.DeadlineExceeded, RetryAfter: retryMoved}
	if errors.Is(cause, errCallerLeft) {
		r.Reason = outcome.Canceled
	}
	if sent {
		r.Kind = outcome.Unknown
	}
	return r
}

// result reads the answer of a daemon.
func (f *flight) result() resend.Attempt {
	a := resend.Attempt{Result: f.resp.Result()}
	if cause := context.Cause(f.ctx); cause != nil && a.Result.Kind == outcome.Unknown {
		a.Result = f.ended(cause, true)
	}
	switch {
	case a.Result.Kind != outcome.NotRun:
		a.Reached = true
	case a.Result.Reason == outcome.TargetShed, a.Result.Reason == outcome.LeaseExpired:
		a.Reached = true
	}
	return a
}

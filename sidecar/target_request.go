package sidecar

import (
	"errors"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/httphead"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/recvlimit"
	"github.com/parsleystack/parsleystack/target"
	"github.com/parsleystack/parsleystack/wire"
	"github.com/parsleystack/parsleystack/workqueue"
)

const (
	// retryRefused is the Retry-After of a request that the chosen target did not
	// run.
	retryRefused = 100 * time.Millisecond
	// slowRunFactor is the ratio of a slow run of a request to the expected one: nine
	// of ten runs take no longer.
	slowRunFactor = 2.0
	// answerMargin is subtracted from the deadline that the target gets, for the
	// transfer of its response.
	answerMargin = 4 * time.Millisecond
)

var errKeyNotGranted = errors.New("the key is no longer granted to the target")

// targetRequest is one request to the local target.
type targetRequest struct {
	b           *backend
	req         *wire.Request
	resp        *wire.Response
	cancel      *canceler
	incarnation *targetIncarnation
	item        workqueue.Item
	alone       bool // no other request is in progress at the target
	pass        gatePass

	call     target.Call
	httpReq  fasthttp.Request
	httpResp fasthttp.Response
}

// maxGateRounds is the number of times that a request passes the gate for suspected
// requests, because it came under suspicion while it waited.
const maxGateRounds = 4

func (r *targetRequest) serve() {
	if !r.admit(r.b.closing.Load() || !r.b.finishesBeforeStop(&r.item)) {
		return
	}
	for range maxGateRounds {
		if !r.passGate() {
			return
		}
		done := r.serveQueued()
		r.leaveGate()
		if done {
			return
		}
	}
	r.refuse(outcome.Quarantined, retrySuspect)
}

// serveQueued waits in the queue and sends the request to the target. It reports false
// if the request has to pass the gate again before it may be sent.
func (r *targetRequest) serveQueued() (done bool) {
	t := r.b.enqueue(&r.item, r.cancel)
	if !t.started {
		reason := outcome.Overloaded
		switch {
		case r.b.closing.Load(), r.b.evacuated.Load():
			reason = outcome.Draining
		case t.refusal.RateLimited:
			reason = outcome.RateLimited
			r.b.d.metrics.count(metricRateRefused)
		case t.refusal.Late:
			reason = outcome.DeadlineExceeded
		}
		r.refuse(reason, t.refusal.RetryAfter)
		return true
	}
	started := clock.Now()
	completion := workqueue.NotSent
	if r.verdictRaised() {
		r.b.finish(&r.item, completion, 0, 0)
		return false
	}
	if r.admit(!r.b.finishesBeforeStop(&r.item)) {
		completion = r.execute()
	}
	r.b.finish(&r.item, completion, clock.Now().Sub(started), len(r.resp.Body))
	return true
}

// admit reports whether the target may receive the request, and refuses it
// otherwise. closing is set if the process stops before the request would finish.
func (r *targetRequest) admit(closing bool) bool {
	now := clock.Now()
	current := r.b.incarnation.Load()
	switch {
	case current == nil || current.state == fleet.TargetUnknown:
		return r.refuse(outcome.NotReady, retryRefused)
	case current.service != r.req.Service:
		return r.refuse(outcome.UnknownService, retryRefused)
	case closing, current.state == fleet.TargetUnreachable, current.refuseFrom != clock.Never && !now.Before(current.refuseFrom):
		return r.refuse(outcome.Draining, retryRefused)
	case r.b.evacuatedFor(r.req.Keyed, now):
		r.b.d.metrics.count(metricEvacuatedRefused)
		return r.refuse(outcome.Draining, retryRefused)
	case r.req.Keyed && !r.keyGranted(now):
		return r.refuse(outcome.WrongOwner, retryRefused)
	}
	r.incarnation = current
	return true
}

// keyGranted reports whether the current incarnation has an unexpired grant for the
// key.
func (r *targetRequest) keyGranted(now clock.Time) bool {
	g := r.b.grant.Load()
	current := r.b.incarnation.Load()
	return g != nil && g.target == current.target && now.Before(g.expires) && g.contains(uint32(r.req.Point))
}

func (r *targetRequest) refuse(reason outcome.Reason, after time.Duration) bool {
	r.resp.Kind, r.resp.Reason, r.resp.RetryAfter = outcome.NotRun, reason, after
	return false
}

// execute sends the request to the target.
func (r *targetRequest) execute() workqueue.Completion {
	left := r.item.Deadline.Sub(clock.Now()) - answerMargin
	if left <= 0 {
		r.refuse(outcome.DeadlineExceeded, 0)
		return workqueue.NotSent
	}
	r.buildRequest(left)
	r.call.Request, r.call.Response = &r.httpReq, &r.httpResp
	r.call.Deadline = time.Now().Add(left + answerMargin/2)
	r.call.ID = r.req.RequestID
	if bytes := r.b.responseBytes(r.item.Class); bytes > recvlimit.FreeBytes {
		r.call.ResponseBytes = bytes // so that the response finds room once the target has run the request
	}
	r.call.BeforeWrite = r.beforeWrite
	r.call.Accept = func(resp *fasthttp.Response) bool {
		return platform.AnswersRequest(&resp.Header, string(r.req.RequestID))
	}
	if r.cancel.checkCaller() || !r.cancel.setOnCancel(r.call.Cancel) {
		r.b.d.metrics.count(metricCanceledUnsent)
		r.refuse(outcome.Canceled, 0)
		return workqueue.NotSent
	}
	sentAt := clock.Now()
	r.b.d.metrics.count(metricTargetRequests) // also those that the target refuses
	sent, err := r.incarnation.client.Do(&r.call)
	r.cancel.setOnCancel(nil)
	if err != nil {
		return r.handleFailure(sent, err)
	}
	r.incarnation.runs.answered(r, clock.Now())
	r.b.answeredByTarget(r.item.ID)
	r.b.observeResponse(r, sentAt)
	completion := r.handleResponse()
	if r.resp.Kind == outcome.Done {
		r.observeServed()
	}
	if r.resp.Kind == outcome.Done {
		r.addStatement()
	} else {
		r.call.Release()
	}
	return completion
}

// beforeWrite checks the grant again right before the request is written to the target.
func (r *targetRequest) beforeWrite() error {
	if r.req.Keyed && !r.keyGranted(clock.Now()) {
		return errKeyNotGranted
	}
	if r.b.evacuatedFor(r.req.Keyed, clock.Now()) {
		return errEvacuated
	}
	r.incarnation.runs.begin(r)
	r.b.writtenToTarget(r.item.ID)
	return nil
}

// buildRequest builds the request for the target: as the caller sent it, except for
// the fields that the daemon sets.
func (r *targetRequest) buildRequest(left time.Duration) {
	h := &r.httpReq.Header
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	h.SetMethodBytes(r.req.Method)
	h.SetRequestURIBytes(r.req.URI)
	for i := range r.req.Headers {
		f := &r.req.Headers[i]
		if isLinkHeader(f.Name) {
			continue
		}
		if string(f.Name) == fasthttp.HeaderHost {
			h.SetHostBytes(f.Value)
			continue
		}
		h.AddBytesKV(f.Name, f.Value)
	}
	platform.SetTargetHeaders(h, r.req.Caller, r.incarnation.target, left)
	r.httpReq.SetBodyRaw(r.req.Body)
}

// handleFailure fills resp after an attempt without a response. sent reports whether
// the target may have received the request.
func (r *targetRequest) handleFailure(sent bool, err error) workqueue.Completion {
	_, noRoom := recvlimit.Exceeded(err)
	switch {
	case noRoom && !sent:
		r.refuse(outcome.Overloaded, retryRefused)
		return workqueue.NotSent
	case errors.Is(err, errKeyNotGranted):
		r.refuse(outcome.WrongOwner, retryRefused)
		return workqueue.NotSent
	case errors.Is(err, errEvacuated):
		r.b.d.metrics.count(metricEvacuatedRefused)
		r.refuse(outcome.Draining, retryRefused)
		return workqueue.NotSent
	case errors.Is(err, target.ErrCanceled):
		r.ended(sent)
		r.pass.canceled = sent
		r.resp.Kind, r.resp.Reason = outcome.Unknown, outcome.Canceled
		if !sent {
			r.b.d.metrics.count(metricCanceledUnsent)
			r.resp.Kind = outcome.NotRun
			return workqueue.Canceled
		}
		r.b.d.metrics.count(metricCanceledSent)
		if r.b.d.ingress.hedges != nil { // that another copy was answered first is likely
			return workqueue.Replaced
		}
		return workqueue.Canceled
	}
	if httphead.Malformed(err) {
		r.b.d.recordMalformed(r, err)
		r.incarnation.runs.answered(r, clock.Now()) // it has ended, and the target lives
		r.resp.Kind, r.resp.Reason = outcome.Unknown, outcome.UnusableResponse
		return workqueue.Failed
	}
	r.b.recordFailure(r.incarnation, r.req.RequestID, sent, err)
	r.ended(sent)
	if !sent {
		r.refuse(outcome.ConnectionLost, retryRefused)
		return workqueue.Failed
	}
	r.resp.Kind, r.resp.Reason = outcome.Unknown, outcome.ConnectionLost
	if !clock.Now().Before(r.item.Deadline.Add(-answerMargin)) {
		r.resp.Reason = outcome.DeadlineExceeded
		return workqueue.Failed
	}
	switch crashed := r.b.awaitCrashCheck(r.incarnation.runs); {
	case crashed && r.alone:
		r.resp.Reason = outcome.CrashSuspect
	case crashed:
		r.resp.Reason = outcome.TargetCrashed
	}
	return workqueue.Failed
}

// ended records the end of the request without a response.
func (r *targetRequest) ended(sent bool) {
	if !sent {
		r.incarnation.runs.notSent(r)
		return
	}
	r.incarnation.runs.lost(r)
}

// addStatement adds to the response what the target has stated about itself.
func (r *targetRequest) addStatement() {
	if len(r.resp.Headers) >= wire.MaxHeaders {
		return
	}
	if s := r.b.statement(); !s.empty() && s.target == r.incarnation.target {
		r.resp.Headers = append(r.resp.Headers, wire.Header{Name: statementHeader, Value: s.encode(clock.Now())})
	}
}

// handleResponse fills resp from the response of the target.
func (r *targetRequest) handleResponse() workqueue.Completion {
	resp := &r.httpResp
	switch {
	case platform.WrongTarget(resp):
		r.refuse(outcome.LeaseExpired, retryRefused)
		return workqueue.Shed
	case platform.NotRunByTarget(resp):
		r.refuse(outcome.TargetShed, max(retryRefused, platform.RetryAfter(&resp.Header)))
		return workqueue.Shed
	case !platform.Signed(resp):
		r.resp.Kind, r.resp.Reason = outcome.Unknown, outcome.ConnectionLost
		return workqueue.Failed
	}
	r.resp.Kind, r.resp.Status = outcome.Done, uint16(resp.StatusCode())
	for name, value := range resp.Header.All() {
		if !singleHop(name) && !isLinkHeader(name) {
			r.resp.Headers = append(r.resp.Headers, wire.Header{Name: name, Value: value})
		}
	}
	r.resp.Body = resp.Body()
	r.resp.OnRelease(r.call.Release)
	r.resp.BodyKept = true // it is the response's own
	if resp.StatusCode() >= http.StatusInternalServerError {
		return workqueue.Failed
	}
	return workqueue.Answered
}

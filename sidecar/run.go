package sidecar

import (
	"errors"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/target"
	"github.com/parsleystack/parsleystack/wire"
	"github.com/parsleystack/parsleystack/workqueue"
)

const (
	// retryMoved is when a caller whose target does not take the request may
	// come back.
	retryMoved = 100 * time.Millisecond
	// longRun is the ratio of a long run of a request to the usual one: nine in
	// ten take no longer.
	longRun = 2.0
	// answerMargin is taken off the time that the target is told, for the way
	// of its answer back.
	answerMargin = 4 * time.Millisecond
)

var errNotHeld = errors.New("the target does not hold the key any more")

// run is one request on its way through the own target.
type run struct {
	b      *backend
	req    *wire.Request
	resp   *wire.Response
	cancel *canceler
	life   *life
	item   workqueue.Item

	call     target.Call
	httpReq  fasthttp.Request
	httpResp fasthttp.Response
}

func (r *run) serve() {
	if !r.acceptable(r.b.closing.Load() || !r.b.endsInTime(&r.item)) {
		return
	}
	t := r.b.enter(&r.item, r.cancel)
	if !t.started {
		reason := outcome.Overloaded
		switch {
		case r.b.closing.Load():
			reason = outcome.Draining
		case t.refusal.Late:
			reason = outcome.DeadlineExceeded
		}
		r.refuse(reason, t.refusal.RetryAfter)
		return
	}
	started := clock.Now()
	ending := workqueue.NotSent
	if r.acceptable(!r.b.endsInTime(&r.item)) {
		ending = r.execute()
	}
	r.b.finish(r.item.ID, ending, clock.Now().Sub(started))
}

// acceptable refuses a request that the target must not get. closing is set if
// it came too late to this process.
func (r *run) acceptable(closing bool) bool {
	now := clock.Now()
	l := r.b.life.Load()
	switch {
	case l == nil || l.state == fleet.TargetUnknown:
		return r.refuse(outcome.NotReady, retryMoved)
	case l.service != r.req.Service:
		return r.refuse(outcome.UnknownService, retryMoved)
	case closing, l.state == fleet.TargetEnded, l.noneFrom != clock.Never && !now.Before(l.noneFrom):
		return r.refuse(outcome.Draining, retryMoved)
	case r.req.Keyed && !r.held(now):
		return r.refuse(outcome.WrongOwner, retryMoved)
	}
	r.life = l
	return true
}

func (r *run) held(now clock.Time) bool {
	h := r.b.held.Load()
	l := r.b.life.Load()
	return h != nil && h.target == l.target && now.Before(h.until) && h.holds(uint32(r.req.Point))
}

func (r *run) refuse(reason outcome.Reason, after time.Duration) bool {
	r.resp.Kind, r.resp.Reason, r.resp.RetryAfter = outcome.NotRun, reason, after
	return false
}

// execute sends the request to the target.
func (r *run) execute() workqueue.Ending {
	left := r.item.Deadline.Sub(clock.Now()) - answerMargin
	if left <= 0 {
		r.refuse(outcome.DeadlineExceeded, 0)
		return workqueue.NotSent
	}
	r.build(left)
	r.call.Request, r.call.Response = &r.httpReq, &r.httpResp
	r.call.Deadline = time.Now().Add(left + answerMargin/2)
	r.call.BeforeWrite = r.confirm
	r.call.Accept = func(resp *fasthttp.Response) bool {
		return platform.AnswersRequest(&resp.Header, string(r.req.RequestID))
	}
	if !r.cancel.set(r.call.Cancel) {
		r.refuse(outcome.Canceled, 0)
		return workqueue.NotSent
	}
	sent, err := r.life.client.Do(&r.call)
	r.cancel.set(nil)
	if err != nil {
		return r.failed(sent, err)
	}
	return r.answered()
}

// confirm is the last look before bytes go to the target.
func (r *run) confirm() error {
	if r.req.Keyed && !r.held(clock.Now()) {
		return errNotHeld
	}
	return nil
}

// build makes the request for the target: as the caller sent it, but for the
// fields that the system answers for.
func (r *run) build(left time.Duration) {
	h := &r.httpReq.Header
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	h.SetMethodBytes(r.req.Method)
	h.SetRequestURIBytes(r.req.URI)
	for i := range r.req.Headers {
		f := &r.req.Headers[i]
		if string(f.Name) == fasthttp.HeaderHost {
			h.SetHostBytes(f.Value)
			continue
		}
		h.AddBytesKV(f.Name, f.Value)
	}
	platform.SetForTarget(h, r.req.Caller, r.life.target, left)
	r.httpReq.SetBodyRaw(r.req.Body)
}

func (r *run) failed(sent bool, err error) workqueue.Ending {
	switch {
	case errors.Is(err, errNotHeld):
		r.refuse(outcome.WrongOwner, retryMoved)
		return workqueue.NotSent
	case errors.Is(err, target.ErrCanceled):
		r.resp.Kind, r.resp.Reason = outcome.Unknown, outcome.Canceled
		if !sent {
			r.resp.Kind = outcome.NotRun
		}
		return workqueue.Left
	}
	r.b.failed(r.life, r.req.RequestID, sent, err)
	if !sent {
		r.refuse(outcome.ConnectionLost, retryMoved)
		return workqueue.Failed
	}
	r.resp.Kind, r.resp.Reason = outcome.Unknown, outcome.ConnectionLost
	if !clock.Now().Before(r.item.Deadline.Add(-answerMargin)) {
		r.resp.Reason = outcome.DeadlineExceeded
	}
	return workqueue.Failed
}

// answered passes the target's answer on.
func (r *run) answered() workqueue.Ending {
	resp := &r.httpResp
	switch {
	case platform.WrongTarget(resp):
		r.refuse(outcome.LeaseExpired, retryMoved)
		return workqueue.Shed
	case platform.NotRunByTarget(resp):
		r.refuse(outcome.TargetShed, retryMoved)
		return workqueue.Shed
	case !platform.Signed(resp):
		r.resp.Kind, r.resp.Reason = outcome.Unknown, outcome.ConnectionLost
		return workqueue.Failed
	}
	r.resp.Kind, r.resp.Status = outcome.Done, uint16(resp.StatusCode())
	for name, value := range resp.Header.All() {
		if !singleHop(name) {
			r.resp.Headers = append(r.resp.Headers, wire.Header{Name: name, Value: value})
		}
	}
	r.resp.Body = resp.Body()
	if resp.StatusCode() >= http.StatusInternalServerError {
		return workqueue.Failed
	}
	return workqueue.Answered
}

package sidecar

import (
	"context"
	"errors"

	"github.com/parsleystack/parsleystack/callerhttp"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/outcome"
)

var _ callerhttp.Work = (*callerRequest)(nil)

// Idempotent implements callerhttp.Work.
func (f *callerRequest) Idempotent() bool { return f.route.Idempotent }

// Deadline implements callerhttp.Work.
func (f *callerRequest) Deadline() clock.Time { return f.deadline }

// Serve implements callerhttp.Work.
func (f *callerRequest) Serve() {
	defer f.ingress.track(f, false)
	f.endWait()
	if f.behind && f.ingress.refuses() { // since it was read
		f.respond(outcome.Result{Kind: outcome.NotRun, Reason: outcome.Draining, RetryAfter: retryStopping})
		f.cancel(nil)
		return
	}
	f.serve()
}

// Refuse implements callerhttp.Work.
func (f *callerRequest) Refuse() {
	defer f.ingress.track(f, false)
	f.endWait()
	f.respond(outcome.Result{Kind: outcome.NotRun, Reason: outcome.DeadlineExceeded})
	f.cancel(nil)
}

// Discard implements callerhttp.Work.
func (f *callerRequest) Discard() {
	defer f.ingress.track(f, false)
	f.endWait()
	result := outcome.Result{Kind: outcome.NotRun, Reason: outcome.ConnectionLost}
	switch {
	case errors.Is(context.Cause(f.ctx), errCallerDisconnected):
		result.Reason = outcome.Canceled
	case f.ingress.d.stopping.Load() != nil:
		result.Reason = outcome.Draining
	}
	f.logResult(logevent.RequestRefused, result, 0)
	f.cancel(nil)
}

// Cancel implements callerhttp.Work.
func (f *callerRequest) Cancel() { f.abort(errCallerDisconnected) }

// Release implements callerhttp.Work.
func (f *callerRequest) Release() { f.resp.Release() }

// endWait records how long the request waited behind others of its connection.
func (f *callerRequest) endWait() {
	if f.behind {
		f.waited = max(clock.Now().Sub(f.arrived)-f.unread, 0)
		f.ingress.d.metrics.behindTime.Update(f.waited.Seconds())
	}
}

package sidecar

import (
	"errors"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/platform"
)

// reject responds with a 4xx status, which states that the fault is the request's. Callers
// never retry such a request. It returns false.
func (f *callerRequest) reject(status int, reason outcome.Reason, details ...zap.Field) bool {
	f.httpCtx.SetStatusCode(status)
	platform.SetRequestID(&f.httpCtx.Response.Header, f.headers.RequestID)
	h := &f.httpCtx.Request.Header
	size := len(f.httpCtx.Request.Body())
	if f.bodyTooLarge {
		size = h.ContentLength() // as announced; negative if it came in chunks
	}
	details = append(details,
		zap.String("host", string(h.Host())), zap.String("uri", string(h.RequestURI())), zap.String("service", string(f.service.Name)),
		zap.Int("body_bytes", size))
	f.logResult(logevent.RequestRejected, outcome.Result{Kind: outcome.NotRun, Reason: reason}, status, details...)
	f.ingress.d.metrics.countRejection(status, reason)
	return false
}

// rejectIfConfirmed rejects a request that the configuration does not allow. While a newer
// configuration may exist that does, the answer is that the daemon is not ready, which
// callers retry.
func (f *callerRequest) rejectIfConfirmed(v *view, status int, reason outcome.Reason) bool {
	if !f.ingress.d.configurationConfirmed(v) {
		return f.rejectNotReady()
	}
	return f.reject(status, reason)
}

// rejectHeaders rejects a request for an error of platform.ReadRequestHeaders.
func (f *callerRequest) rejectHeaders(err error) bool {
	reason := outcome.MalformedDeadline
	if errors.Is(err, platform.ErrMalformedKey) {
		reason = outcome.MalformedKey
	}
	return f.reject(fasthttp.StatusBadRequest, reason, zap.Error(err))
}

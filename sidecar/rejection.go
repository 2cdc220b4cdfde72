package sidecar

import (
	"errors"
	"net"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/platform"
)

// reject responds with a 4xx status, which states that the fault is the request's. Callers
// never retry such a request. It returns false.
func (f *callerRequest) reject(v *view, status int, reason outcome.Reason, details ...zap.Field) bool {
	f.httpCtx.SetStatusCode(status)
	platform.SetRequestID(&f.httpCtx.Response.Header, f.headers.RequestID)
	h := &f.httpCtx.Request.Header
	details = append(details,
		zap.ByteString("host", h.Host()), zap.ByteString("uri", h.RequestURI()), zap.String("service", string(f.service.Name)),
		zap.Uint64("newest_config", v.newestConfig), zap.Int("body_bytes", len(f.httpCtx.Request.Body())))
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
	return f.reject(v, status, reason)
}

// rejectHeaders rejects a request for an error of platform.ReadRequestHeaders.
func (f *callerRequest) rejectHeaders(v *view, err error) bool {
	reason := outcome.MalformedDeadline
	if errors.Is(err, platform.ErrMalformedKey) {
		reason = outcome.MalformedKey
	}
	return f.reject(v, fasthttp.StatusBadRequest, reason, zap.Error(err))
}

// handleReadError responds to a request that could not be read.
func (in *ingress) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	ctx.SetConnectionClose()
	status, reason := readErrorStatus(err)
	ctx.Error(err.Error(), status)
	in.d.metrics.countRejection(status, reason)
	logevent.Log(in.d.log, logevent.RequestRejected, zap.Int("status", status), zap.Stringer("reason", reason), zap.Error(err),
		zap.Stringer("caller", ctx.RemoteAddr()), zap.Uint64("requests_before", ctx.ConnRequestNum()))
}

// readErrorStatus returns the status and reason for an error of reading a request.
func readErrorStatus(err error) (int, outcome.Reason) {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge, outcome.HeaderTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge, outcome.BodyTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return fasthttp.StatusRequestTimeout, outcome.RequestTimeout
	}
	return fasthttp.StatusBadRequest, outcome.MalformedRequest
}

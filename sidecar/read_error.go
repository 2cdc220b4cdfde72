package sidecar

import (
	"errors"
	"net"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/callerhttp"
	"github.com/parsleystack/parsleystack/connprobe"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/recvlimit"
)

// ReadError implements callerhttp.Handler.
func (in *ingress) ReadError(x *callerhttp.Exchange, err error) {
	ctx := &x.Ctx
	status, reason := readErrorStatus(err, ctx.Conn())
	ctx.Error(reason.String(), status)
	id := ""
	var read *callerhttp.ReadError
	if errors.As(err, &read) && read.HeadComplete() {
		id = platform.RequestID(&ctx.Request.Header)
		platform.SetRequestID(&ctx.Response.Header, id)
	}
	event := logevent.RequestRejected
	if status == fasthttp.StatusServiceUnavailable {
		event = logevent.RequestRefused
		platform.SetRetryAfter(&ctx.Response.Header, retryRefused)
	} else {
		in.d.metrics.countRejection(status, reason)
	}
	logevent.Log(in.d.log, event, zap.String("request", id), zap.Int("status", status), zap.Stringer("reason", reason), zap.Error(err),
		zap.Stringer("caller", ctx.RemoteAddr()), zap.Uint64("requests_before", x.Before))
}

// readErrorStatus returns the status and reason for an error of reading a request from
// conn.
func readErrorStatus(err error, conn net.Conn) (int, outcome.Reason) {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	var budget *recvlimit.BudgetError
	var crowded *callerhttp.ConnLimitError
	switch {
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge, outcome.HeaderTooLarge
	case errors.As(err, &budget), errors.As(err, &crowded):
		return fasthttp.StatusServiceUnavailable, outcome.Overloaded
	case errors.As(err, &timeout) && timeout.Timeout():
		return fasthttp.StatusRequestTimeout, outcome.RequestTimeout
	case connprobe.CutShort(err, conn):
		return fasthttp.StatusServiceUnavailable, outcome.ConnectionLost
	}
	return fasthttp.StatusBadRequest, outcome.MalformedRequest
}

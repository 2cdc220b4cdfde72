package sidecar

import (
	"errors"
	"io"
	"net"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/connprobe"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/outcome"
)

// handleReadError responds to a request that could not be read.
func (in *ingress) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	ctx.SetConnectionClose()
	status, reason := readErrorStatus(err, func() bool { return connprobe.PeerClosed(ctx.Conn()) })
	ctx.Error(reason.String(), status)
	event := logevent.RequestRejected
	if status == fasthttp.StatusServiceUnavailable {
		event = logevent.RequestRefused
	} else {
		in.d.metrics.countRejection(status, reason)
	}
	logevent.Log(in.d.log, event, zap.Int("status", status), zap.Stringer("reason", reason), zap.Error(err),
		zap.Stringer("caller", ctx.RemoteAddr()), zap.Uint64("requests_before", ctx.ConnRequestNum()))
}

// readErrorStatus returns the status and reason for an error of reading a request.
// peerClosed reports whether the caller has closed the connection.
func readErrorStatus(err error, peerClosed func() bool) (int, outcome.Reason) {
	var (
		small   *fasthttp.ErrSmallBuffer
		network net.Error
		broken  fasthttp.ErrBrokenChunk // does not wrap its cause
	)
	switch {
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge, outcome.HeaderTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge, outcome.BodyTooLarge
	case errors.As(err, &network) && network.Timeout():
		return fasthttp.StatusRequestTimeout, outcome.RequestTimeout
	case errors.As(err, &network), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &broken) && peerClosed():
		return fasthttp.StatusServiceUnavailable, outcome.ConnectionLost
	}
	return fasthttp.StatusBadRequest, outcome.MalformedRequest
}

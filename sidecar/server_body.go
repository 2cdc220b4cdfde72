package sidecar

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/recvlimit"
)

// pastDeadline is a deadline that ends a read at once.
var pastDeadline = time.Unix(1, 0)

// withBody returns a handler that reads the body of a request into memory of the account, and
// then calls h. It is for servers that stream bodies.
func (d *Daemon) withBody(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		stream := ctx.RequestBodyStream()
		if stream == nil {
			h(ctx)
			return
		}
		conn := ctx.Conn()
		held := d.memory.Open(recvlimit.Target, func() { _ = conn.SetReadDeadline(pastDeadline) }) // an error means that the connection is closed
		defer held.Release()
		length := max(ctx.Request.Header.ContentLength(), recvlimit.LengthUnknown)
		body, err := recvlimit.ReadBody(stream, length, maxHeartbeat, recvlimit.Target, held)
		held.Complete()
		if held.Evicted() {
			err = &recvlimit.BudgetError{Source: recvlimit.Target, Limit: d.memory.Limit()}
		}
		if err != nil {
			d.recordOversize(err)
			ctx.SetConnectionClose()
			ctx.SetStatusCode(bodyErrorStatus(err))
			return
		}
		ctx.Request.SetBodyRaw(body)
		h(ctx)
	}
}

// bodyErrorStatus returns the status for an error of reading a body.
func bodyErrorStatus(err error) int {
	var tooLarge *recvlimit.MessageError
	var noRoom *recvlimit.BudgetError
	var timeout net.Error
	switch {
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.As(err, &noRoom):
		return http.StatusServiceUnavailable
	case errors.As(err, &timeout) && timeout.Timeout():
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

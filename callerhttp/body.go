package callerhttp

import (
	"errors"
	"io"

	"github.com/valyala/fasthttp"
)

// Sizes of the buffers of bodies.
const (
	// firstBody is the size of the first buffer of a large body.
	firstBody = 16 << 10
	// bodyGrowth is the factor by which it grows while bytes arrive. A buffer of more than
	// half the stated length is made as large as that, so that the body takes at most a quarter
	// more than its length while bytes are copied, and at most eight times what has arrived.
	bodyGrowth = 4
)

// chunkedLength is what fasthttp states as the length of a chunked body, noLength of a request
// without one.
const (
	chunkedLength = -1
	noLength      = -2
)

const continueLine = "HTTP/1.1 100 Continue\r\n\r\n"

// readBody reads the body, or sets BodyTooLarge.
func (c *conn) readBody(x *Exchange) error {
	h := &x.Ctx.Request.Header
	length, limit := h.ContentLength(), c.server.config.MaxBody()
	switch {
	case length == noLength:
		if !h.IsGet() && !h.IsHead() {
			h.SetContentLength(0)
		}
		return nil
	case length > limit:
		x.BodyTooLarge = true
		return nil
	}
	if x.Ctx.Request.MayContinue() {
		// The interim response follows the responses to all earlier requests.
		if !c.awaitEmpty() {
			return c.interruption()
		}
		if _, err := c.Write([]byte(continueLine)); err != nil {
			return err
		}
	}
	c.part = inBody
	var err error
	if length == chunkedLength {
		err = c.readChunks(x, limit)
	} else {
		err = c.readLength(x, length)
	}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		x.BodyTooLarge, x.body = true, nil
		return nil
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if err == nil && len(x.body) > 0 {
		x.Ctx.Request.SetBodyRaw(x.body)
	}
	return err
}

func (c *conn) readLength(x *Exchange, length int) error {
	x.body = x.body[:0]
	for len(x.body) < length {
		if len(x.body) == cap(x.body) {
			size := max(bodyGrowth*cap(x.body), firstBody)
			if size > length/2 {
				size = length
			}
			if length <= maxKeptBody {
				size = maxKeptBody
			}
			if err := c.growBody(x, size); err != nil {
				return err
			}
		}
		n, err := c.br.Read(x.body[len(x.body):min(cap(x.body), length)])
		x.body = x.body[:len(x.body)+n]
		if err != nil {
			return err
		}
	}
	return nil
}

// growBody replaces the buffer of the body by one of size bytes.
func (c *conn) growBody(x *Exchange, size int) error {
	if size > maxKeptBody {
		room := func() bool { return c.queue.MayHold(size) }
		if !c.await(room) {
			return c.interruption()
		}
		// Both buffers exist while the bytes are copied.
		if err := c.count(x, size+cap(x.body)); err != nil {
			return err
		}
	}
	x.body = append(make([]byte, 0, size), x.body...)
	if x.received != nil {
		x.received.Shrink(x.cost() + size)
	}
	return nil
}

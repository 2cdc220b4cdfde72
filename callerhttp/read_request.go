package callerhttp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/connprobe"
	"github.com/parsleystack/parsleystack/httphead"
	"github.com/parsleystack/parsleystack/recvlimit"
)

const (
	// connCost is the memory of a connection that sends nothing: a goroutine and its state.
	connCost = 8 << 10
	// exchangeCost is the memory of a request besides its head and body: the context of
	// fasthttp and the state of its handler.
	exchangeCost = 4 << 10
	// aheadCost is the memory of a request that is read behind others: that of an exchange
	// and its head, and the goroutine that runs it.
	aheadCost = 16 << 10
)

var smallReaders = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, chunkSize) }}

// awaitBytes waits for the first byte of a request. It reports false if the connection ends.
func (c *conn) awaitBytes() bool {
	if c.hasUnparsed() {
		return true
	}
	c.dropBuffers()
	_, err := c.receive(nil)
	switch {
	case err == nil:
		return true
	case c.interrupted.Load():
		return false // a response without a request would be taken for that to the next one
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.callerLeft()
	}
	if c.requests == 0 && !errors.Is(err, io.EOF) && c.readAhead() {
		c.finishRead(c.x, &ReadError{Part: partFirstByte, Err: err})
	}
	return false
}

// hasUnparsed reports whether bytes were read that belong to the next request.
func (c *conn) hasUnparsed() bool {
	return c.br != nil && c.br.Buffered() > 0 || len(c.pending) > 0
}

// dropBuffers returns the buffers of the reader.
func (c *conn) dropBuffers() {
	c.dropChunk()
	if c.br != nil {
		c.server.readers(c.br.Size()).Put(c.br)
		c.br = nil
	}
}

// arrival returns when the newest bytes arrived and how long they were unread. It asks the
// kernel only if bytes were read since the last call.
func (c *conn) arrival() (clock.Time, time.Duration) {
	if c.newer {
		c.newer = false
		c.arrived, c.unread = clock.Now(), 0
		if unread, ok := connprobe.SinceReceived(c.nc); ok {
			c.arrived, c.unread = c.arrived.Add(-unread), unread
		}
	}
	return c.arrived, c.unread
}

// readRequest reads a request. It returns io.EOF if the connection ended before it.
func (c *conn) readRequest(x *Exchange) error {
	if c.br == nil {
		c.br = c.server.readers(chunkSize).Get().(*bufio.Reader)
		c.br.Reset(c)
	}
	if err := c.parse(x, false); err != nil {
		if err == io.EOF { //nolint:errorlint // a wrapped one is the end within a head
			return err
		}
		return &ReadError{Part: partHead, Err: err}
	}
	if err := x.checkTarget(); err != nil {
		return &ReadError{Part: partTarget, Err: err}
	}
	if err := c.readBody(x); err != nil {
		return &ReadError{Part: partBody, Err: err}
	}
	if x.received != nil {
		x.received.Complete()
		if x.received.Evicted() {
			c.evicted.Store(true)
			return &ReadError{Part: partBody, Err: c.interruption()}
		}
	}
	if !c.commit() {
		return &ReadError{Part: partBody, Err: c.interruption()}
	}
	return nil
}

// parse parses a head or trailer, again with a larger buffer if it does not fit.
func (c *conn) parse(x *Exchange, trailer bool) error {
	err := c.readFields(x, trailer)
	if err == nil {
		return nil
	}
	var small *fasthttp.ErrSmallBuffer
	limit := c.server.config.MaxHeader
	if c.br.Size() >= limit || !errors.As(err, &small) {
		return err
	}
	if err := c.count(x, cap(x.body)+limit); err != nil {
		return err
	}
	buffered, err := c.br.Peek(c.br.Buffered())
	if err != nil {
		return err
	}
	large := c.server.readers(limit).Get().(*bufio.Reader)
	large.Reset(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c))
	c.server.readers(c.br.Size()).Put(c.br)
	c.br = large
	return c.readFields(x, trailer)
}

// readFields reads a head or a trailer once it has arrived. If it does not arrive completely, the
// parser names the reason.
func (c *conn) readFields(x *Exchange, trailer bool) error {
	size, err := c.awaitFields(x, trailer)
	h := &x.Ctx.Request.Header
	switch {
	case err != nil:
		return err
	case size > 0 && trailer:
		return httphead.ParseRequestTrailer(c.br, size, h)
	case size > 0:
		return httphead.ParseRequest(c.br, size, h)
	case trailer:
		err = h.ReadTrailer(c.br)
	default:
		err = h.Read(c.br)
	}
	if err == nil {
		return httphead.ErrOtherEnd
	}
	return err
}

// count counts the memory of a request that is being received, with a body of bytes.
func (c *conn) count(x *Exchange, bytes int) error {
	if c.server.config.Memory == nil {
		return nil
	}
	if x.received == nil {
		x.received = c.server.config.Memory.Open(recvlimit.Caller, c.evictBody)
	}
	return x.received.Grow(x.cost() + bytes)
}

// cost returns the memory of a request that is being received, besides its body.
func (x *Exchange) cost() int { return exchangeCost + x.conn.br.Size() + x.fields }

// checkTarget rejects userinfo in the host, adopts the authority of a target in absolute form
// (RFC 9112 section 3.2.2), and rejects a target that is not a URI.
func (x *Exchange) checkTarget() error {
	h := &x.Ctx.Request.Header
	host, target := h.Host(), h.RequestURI()
	if bytes.IndexByte(host, '@') >= 0 {
		return errInvalidHost
	}
	if len(host) == 0 || target[0] != '/' {
		authority, absolute := authorityOf(target)
		switch {
		case bytes.IndexByte(authority, '@') >= 0, absolute && len(authority) == 0:
			return errInvalidHost
		case absolute:
			h.SetHostBytes(authority)
		case h.IsConnect() && bytes.IndexByte(target, '@') >= 0:
			return errInvalidHost
		}
	}
	return x.uri.Parse(h.Host(), target)
}

// authorityOf returns the authority of a request target, and whether it has the absolute form.
func authorityOf(target []byte) (authority []byte, absolute bool) {
	rest, network := bytes.CutPrefix(target, []byte("//"))
	if !network {
		if target[0] == '/' {
			return nil, false
		}
		if _, rest, absolute = bytes.Cut(target, []byte("://")); !absolute {
			return nil, false
		}
	}
	if i := bytes.IndexAny(rest, "/?#"); i >= 0 {
		rest = rest[:i]
	}
	return rest, absolute
}

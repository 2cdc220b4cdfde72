package callerhttp

import (
	"bufio"
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/clock"
)

const (
	// writeBuffer holds most responses with their heads, so that they take one write.
	writeBuffer = 16 << 10
	// writePiece is the number of bytes that a caller must take within the write timeout.
	writePiece = 64 << 10
	// maxUncounted is the size up to which the body of a response that is next is not
	// counted: the memory of the connection includes it.
	maxUncounted = 4 << 10
	// lingerTime and lingerBytes bound what is read and discarded after the last response.
	// If bytes of the caller were left unread, the kernel would reset the connection, and
	// the caller might lose responses that it has not read yet.
	lingerTime  = 2 * time.Second
	lingerBytes = 64 << 20
)

var writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBuffer) }}

// writeAll writes responses. The connection closes after the last of them if closes is set.
func (c *conn) writeAll(batch []*Exchange, closes bool) error {
	w := writers.Get().(*bufio.Writer)
	w.Reset(c)
	defer writers.Put(w)
	for i, x := range batch {
		if x.answered > 0 {
			c.server.handler.TurnAwaited(max(clock.Now().Sub(x.answered), 0))
		}
		x.setConnection(closes && i == len(batch)-1)
		if err := x.Ctx.Response.Write(w); err != nil {
			return err
		}
	}
	return w.Flush()
}

// setConnection sets the fields of the response that concern its connection.
func (x *Exchange) setConnection(closes bool) {
	req, resp := &x.Ctx.Request.Header, &x.Ctx.Response
	if req.IsHead() {
		resp.SkipBody = true
	}
	switch {
	case closes:
		resp.Header.SetConnectionClose()
	case resp.Header.ConnectionClose():
		resp.Header.ResetConnectionClose()
	}
	if !closes && !req.IsHTTP11() {
		resp.Header.Set(fasthttp.HeaderConnection, "keep-alive")
	}
}

// Write implements io.Writer. Each piece has the write timeout of its own, so a caller that
// reads slowly gets all of a long response.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	defer c.writing.Store(int64(clock.Never))
	for written < len(p) {
		now := time.Now()
		c.writing.Store(int64(clock.Fast()))
		timeout := c.server.config.WriteTimeout
		displaced := c.state.isDisplaced() // and has a refusal left, or responses that were not taken
		if displaced {
			timeout = rejectTimeout
		}
		if displaced || c.writeBy.Sub(now) < timeout/2 {
			c.writeBy = now.Add(timeout)
			if err := c.nc.SetWriteDeadline(c.writeBy); err != nil {
				return written, err
			}
		}
		n, err := c.nc.Write(p[written:min(len(p), written+writePiece)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// linger ends the sending direction and discards what the caller still sends.
func (c *conn) linger() {
	if t, ok := c.nc.(*net.TCPConn); ok {
		if t.CloseWrite() != nil {
			return // the caller has closed
		}
	}
	if c.nc.SetReadDeadline(time.Now().Add(lingerTime)) != nil || c.state.isDisplaced() {
		return
	}
	b := chunks.Get().(*chunk)
	defer chunks.Put(b)
	for discarded := 0; discarded < lingerBytes; {
		n, err := c.nc.Read(b[:])
		if err != nil {
			return
		}
		discarded += n
		runtime.Gosched() // likewise in receive
	}
}

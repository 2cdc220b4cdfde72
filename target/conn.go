package target

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

const connBufferSize = 4 << 10 // bytes

// conn is one connection to the target.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	writer *bufio.Writer
	wrote  atomic.Bool // bytes of the current request went to the socket

	writing   bool      // the current request was not written to its end
	idleUntil time.Time // not used again after it; no bound if zero

	idle     bool                  // result of probe
	probeFn  func(fd uintptr) bool // probe, allocated once
	probeBuf [1]byte
}

func newConn(c net.Conn) (*conn, error) {
	tc := &conn{Conn: c}
	if sc, ok := c.(syscall.Conn); ok {
		raw, err := sc.SyscallConn()
		if err != nil {
			return nil, err
		}
		tc.raw = raw
	}
	tc.probeFn = tc.probe
	tc.reader = bufio.NewReaderSize(c, connBufferSize)
	tc.writer = bufio.NewWriterSize(tc, connBufferSize)
	return tc, nil
}

// Write notes that bytes go to the socket.
func (c *conn) Write(b []byte) (int, error) {
	c.wrote.Store(true)
	return c.Conn.Write(b)
}

// reusable reports whether the connection is open and silent: the target has
// neither closed it nor sent bytes that nobody asked for.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 || !c.idleUntil.IsZero() && time.Now().After(c.idleUntil) {
		return false
	}
	if c.raw == nil {
		return true
	}
	if err := c.raw.Read(c.probeFn); err != nil {
		return false
	}
	return c.idle
}

func (c *conn) probe(fd uintptr) bool {
	_, _, err := unix.Recvfrom(int(fd), c.probeBuf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	c.idle = err == unix.EAGAIN
	return true
}

// write writes a whole request.
func (c *conn) write(req *fasthttp.Request) error {
	if err := req.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// closeSlack is the time before the end of a keep-alive that the target states
// from which the connection is not used, so that a request does not cross its
// close.
const closeSlack = time.Second

// limitIdle notes until when the connection may be used, from the bound and
// from the Keep-Alive field of an answer.
func (c *conn) limitIdle(bound time.Duration, resp *fasthttp.Response) {
	if stated, ok := keepAliveTimeout(string(resp.Header.Peek("Keep-Alive"))); ok {
		if stated = max(stated-closeSlack, 0); bound == 0 || stated < bound {
			bound = stated
		}
	}
	c.idleUntil = time.Time{}
	if bound > 0 {
		c.idleUntil = time.Now().Add(bound)
	}
}

// keepAliveTimeout returns the timeout that a Keep-Alive field states.
func keepAliveTimeout(field string) (time.Duration, bool) {
	for part := range strings.SplitSeq(field, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n > 0 {
			return time.Duration(n) * time.Second, true
		}
	}
	return 0, false
}

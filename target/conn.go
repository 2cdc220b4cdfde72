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

	"github.com/parsleystack/parsleystack/connprobe"
	"github.com/parsleystack/parsleystack/fairread"
)

const connBufferSize = 4 << 10 // bytes

// conn is one connection to the target.
type conn struct {
	net.Conn
	raw      syscall.RawConn
	reader   *bufio.Reader
	writer   *bufio.Writer
	fair     fairread.Conn
	received int         // bytes read from the socket
	wrote    atomic.Bool // bytes of the current request were written to the socket
	upload   connprobe.Upload

	sent            sentIDs
	writeIncomplete bool      // the current request was not completely written
	untilClose      bool      // the body of the newest response ends with the connection
	idleDeadline    time.Time // not reused after it; no limit if zero
	idleSince       time.Time

	probedIdle bool // result of probe: open, and no bytes to read
	// probedSurplus is set if the last probe has found bytes that belong to no response.
	probedSurplus bool
	// probedClosed is set if the last probe has found that the target has closed the connection.
	probedClosed bool
	probeFn      func(fd uintptr) bool // probe as a function value, allocated once
	probeBuf     [1]byte
}

func newConn(c net.Conn) (*conn, error) {
	tc := &conn{Conn: c, fair: fairread.Conn{Conn: c}, upload: connprobe.NewUpload(c), sent: make(sentIDs)}
	if sc, ok := c.(syscall.Conn); ok {
		raw, err := sc.SyscallConn()
		if err != nil {
			return nil, err
		}
		tc.raw = raw
	}
	tc.probeFn = tc.probe
	tc.reader = bufio.NewReaderSize(tc, connBufferSize)
	tc.writer = bufio.NewWriterSize(tc, connBufferSize)
	return tc, nil
}

// Read reads from the socket.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.fair.Read(b)
	c.received += n
	return n, err
}

// consumed returns the number of bytes received that were decoded.
func (c *conn) consumed() int { return c.received - c.reader.Buffered() }

// Write writes bytes to the socket and records whether it has taken any. It takes none if the
// target has reset the connection.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if n > 0 {
		c.wrote.Store(true)
	}
	return n, err
}

// reusable reports whether the next request can use the connection: its idle
// deadline has not passed, and the target has neither closed it nor sent bytes
// beyond the last response.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 || !c.idleDeadline.IsZero() && time.Now().After(c.idleDeadline) {
		return false
	}
	if c.raw == nil {
		return true
	}
	if err := c.raw.Read(c.probeFn); err != nil {
		return false
	}
	return c.probedIdle
}

// probe sets probedIdle without reading bytes and without blocking.
func (c *conn) probe(fd uintptr) bool {
	n, _, err := unix.Recvfrom(int(fd), c.probeBuf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	c.probedIdle = err == unix.EAGAIN
	c.probedSurplus = n > 0 && err == nil
	c.probedClosed = n == 0 && err == nil || err == unix.ECONNRESET
	return true
}

// write writes a whole request.
func (c *conn) write(req *fasthttp.Request) error {
	if err := req.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// keepAliveMargin is subtracted from the keep-alive timeout that a target states, so
// that a request does not cross the target's close of the connection.
const keepAliveMargin = time.Second

// setIdleDeadline sets the time until which the connection may be reused, from bound
// and the Keep-Alive field of a response; the shorter one applies. A bound of 0
// means no limit.
func (c *conn) setIdleDeadline(bound time.Duration, resp *fasthttp.Response) {
	if stated, ok := keepAliveTimeout(string(resp.Header.Peek("Keep-Alive"))); ok {
		if stated = max(stated-keepAliveMargin, 0); bound == 0 || stated < bound {
			bound = stated
		}
	}
	c.idleDeadline = time.Time{}
	if bound > 0 {
		c.idleDeadline = time.Now().Add(bound)
	}
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive field. It returns
// false if there is no valid one.
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

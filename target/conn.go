package target

import (
	"bufio"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

const connBufferSize = 4 << 10 // bytes

// conn is one connection to the target.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	writer *bufio.Writer
	wrote  bool // bytes of the current request went to the socket

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
	c.wrote = true
	return c.Conn.Write(b)
}

// reusable reports whether the connection is open and silent: the target has
// neither closed it nor sent bytes that nobody asked for.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
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

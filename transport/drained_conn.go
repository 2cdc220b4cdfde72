package transport

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// drainedConn is a connection that tells when its reader has taken all bytes that have arrived.
type drainedConn struct {
	net.Conn
	// onDrained is called by Read before it waits for further bytes; nil for no call. On a
	// connection without a file descriptor, where waits can't be told, it is called by each Read.
	onDrained func()

	raw     syscall.RawConn
	attempt func(fd uintptr) bool // tryRead as a function value, allocated once
	dst     []byte                // of the read in progress
	n       int
	err     error
}

func newDrainedConn(conn net.Conn) *drainedConn {
	c := &drainedConn{Conn: conn}
	c.attempt = c.tryRead
	if sc, ok := conn.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			c.raw = raw
		}
	}
	return c
}

// Read implements net.Conn.
func (c *drainedConn) Read(b []byte) (int, error) {
	if c.raw == nil || len(b) == 0 {
		c.drained()
		return c.Conn.Read(b)
	}
	c.dst, c.n, c.err = b, 0, nil
	err := c.raw.Read(c.attempt)
	c.dst = nil
	switch {
	case err != nil:
		return 0, err
	case c.err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: c.err}
	case c.n == 0:
		return 0, io.EOF
	}
	return c.n, nil
}

// tryRead reads what has arrived. It reports false if there is nothing.
func (c *drainedConn) tryRead(fd uintptr) bool {
	n, err := unix.Read(int(fd), c.dst)
	for errors.Is(err, unix.EINTR) {
		n, err = unix.Read(int(fd), c.dst)
	}
	if errors.Is(err, unix.EAGAIN) {
		c.drained()
		return false
	}
	c.n, c.err = max(n, 0), err
	return true
}

func (c *drainedConn) drained() {
	if c.onDrained != nil {
		c.onDrained()
	}
}

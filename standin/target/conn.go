package target

import (
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// limitListener closes connections that exceed a limit.
type limitListener struct {
	net.Listener
	limit    int64
	cost     time.Duration
	counters *counters
}

func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.counters.conns.current.Load() >= l.limit {
			l.counters.connsRefused.Add(1)
			_ = c.Close()
			continue
		}
		l.counters.connsOpened.Add(1)
		l.counters.conns.add(1)
		return &conn{Conn: c, cost: l.cost, counters: l.counters}, nil
	}
}

// conn is a connection whose first read is delayed by the connection cost.
type conn struct {
	net.Conn
	cost     time.Duration
	counters *counters
	opened   sync.Once
	closed   sync.Once
}

func (c *conn) Read(b []byte) (int, error) {
	if c.cost > 0 {
		c.opened.Do(func() { time.Sleep(c.cost) })
	}
	return c.Conn.Read(b)
}

func (c *conn) Close() error {
	c.closed.Do(func() { c.counters.conns.add(-1) })
	return c.Conn.Close()
}

// peerClosed reports whether the peer has closed the connection. It consumes no
// data.
func (c *conn) peerClosed() bool {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) { closed = endOfStream(int(fd)) })
	return err != nil || closed
}

func endOfStream(fd int) bool {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	if err == unix.EAGAIN || err == unix.EINTR {
		return false
	}
	return err != nil || n == 0
}

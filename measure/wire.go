package measure

import (
	"net"
	"sync/atomic"
	"time"
)

// WireCounter counts the bytes of TCP payload that are sent and received on the
// connections it dials.
type WireCounter struct {
	sent, received atomic.Int64
}

// Dial connects to a TCP address like net.DialTimeout and counts the bytes of the
// connection.
func (w *WireCounter) Dial(addr string, timeout time.Duration) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, counter: w}, nil
}

// Total returns the bytes sent and received so far.
func (w *WireCounter) Total() int64 { return w.sent.Load() + w.received.Load() }

// countedConn counts the bytes of one connection.
type countedConn struct {
	net.Conn
	counter *WireCounter
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.sent.Add(int64(n))
	return n, err
}

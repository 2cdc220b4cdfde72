package target

import (
	"net"
	"sync"
	"time"
)

// pool holds the connections for requests, at most max in all. The most
// recently used idle one is taken first.
type pool struct {
	addr        string
	max         int
	dialTimeout time.Duration

	mu     sync.Mutex
	idle   []*conn
	open   int // idle, in use and being dialed
	closed bool
	low    chan struct{} // signaled when a connection was closed
}

func newPool(addr string, limit int, dialTimeout time.Duration) *pool {
	return &pool{addr: addr, max: limit, dialTimeout: dialTimeout, low: make(chan struct{}, 1)}
}

// get returns an idle connection, or a new one. An idle connection is probed
// first: one that the target has closed would make the outcome unknown, and one
// with surplus bytes would give the request another one's answer.
func (p *pool) get(deadline time.Time) (*conn, error) {
	for {
		c, err := p.pop()
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(deadline)
		}
		if c.reusable() {
			return c, nil
		}
		p.discard(c)
	}
}

// pop returns an idle connection, or nil after reserving room for a new one.
func (p *pool) pop() (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil
	}
	if p.open >= p.max {
		return nil, ErrNoConn
	}
	p.open++
	return nil, nil
}

// dial opens a connection in the room that pop reserved.
func (p *pool) dial(deadline time.Time) (*conn, error) {
	timeout := p.dialTimeout
	if left := time.Until(deadline); left < timeout {
		timeout = left
	}
	raw, err := net.DialTimeout("tcp", p.addr, max(timeout, time.Nanosecond))
	if err != nil {
		p.forget()
		return nil, err
	}
	c, err := newConn(raw)
	if err != nil {
		_ = raw.Close()
		p.forget()
		return nil, err
	}
	return c, nil
}

// put hands back a connection whose last answer was read to its end.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	if !p.closed {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.discard(c)
}

// discard closes a connection.
func (p *pool) discard(c *conn) {
	_ = c.Close()
	p.forget()
}

func (p *pool) forget() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	select {
	case p.low <- struct{}{}:
	default:
	}
}

// fill opens idle connections until there are n or one cannot be opened.
func (p *pool) fill(n int) error {
	for {
		p.mu.Lock()
		if p.closed || len(p.idle) >= n || p.open >= p.max {
			p.mu.Unlock()
			return nil
		}
		p.open++
		p.mu.Unlock()
		c, err := p.dial(time.Now().Add(p.dialTimeout))
		if err != nil {
			return err
		}
		p.put(c)
	}
}

func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// size returns the numbers of open and of idle connections.
func (p *pool) size() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

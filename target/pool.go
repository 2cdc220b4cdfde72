package target

import (
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// pool holds up to maxConns connections for requests. The most recently used idle
// connection is used first.
type pool struct {
	addr          string
	dialTimeout   time.Duration
	receiveBuffer int    // bytes; that of the kernel if 0
	onClosed      func() // may be nil

	mu         sync.Mutex
	maxConns   int
	idle       []*conn
	open       int       // number of connections that are idle, in use or being dialed
	surplusAt  time.Time // when bytes that belong to no response were last found
	closed     bool
	connClosed chan struct{} // receives a value when a connection was closed
}

func newPool(cfg Config) *pool {
	return &pool{addr: cfg.Addr, maxConns: cfg.MaxConns, dialTimeout: cfg.DialTimeout, receiveBuffer: cfg.ReceiveBuffer, onClosed: cfg.OnClosed, connClosed: make(chan struct{}, 1)}
}

func (p *pool) setMaxConns(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = n
}

// get returns an idle connection, or a new one. It probes an idle connection first:
// if the target has closed it, the outcome of the request would be unknown; if it
// holds surplus bytes, the request would get another request's response. No connection is
// used for two calls with the same ID.
func (p *pool) get(call *Call) (*conn, error) {
	for {
		c, err := p.popOrReserve(call)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.dial(call.Deadline)
		}
		if c.reusable() {
			return c, nil
		}
		p.discard(c)
		if c.probedSurplus || c.reader.Buffered() > 0 {
			p.surplusFound()
		}
		if c.probedClosed && p.onClosed != nil {
			p.onClosed()
		}
	}
}

// popOrReserve returns an idle connection, or nil after reserving a slot for a new one. If
// the call's ID was sent on all idle connections of a full pool, the least recently used one
// makes room.
func (p *pool) popOrReserve(call *Call) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	if c := p.popUnsent(call); c != nil {
		return c, nil
	}
	if p.open < p.maxConns {
		p.open++
		return nil, nil
	}
	if len(p.idle) == 0 {
		return nil, ErrNoConn
	}
	_ = p.idle[0].Close()
	p.idle = slices.Delete(p.idle, 0, 1)
	return nil, nil
}

// popUnsent returns the most recently used idle connection that the call may use, or nil. The
// caller holds p.mu.
func (p *pool) popUnsent(call *Call) *conn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if !call.mayUse(c) || !p.isSettled(c) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		return c
	}
	return nil
}

const (
	// surplusMemory is how long connections of a target that has sent bytes beyond a response
	// are used with care.
	surplusMemory = 10 * time.Second
	// settleTime is how long after a response bytes beyond it may arrive. They are found when
	// the connection is next needed, unless they cross the next request, which would then be
	// of unknown outcome.
	settleTime = 20 * time.Millisecond
)

// surplusFound records that the target has sent bytes that belong to no response.
func (p *pool) surplusFound() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.surplusAt = time.Now()
}

// isSettled reports whether an idle connection may be used as far as surplus bytes are
// concerned. A target that sends none is given no time. The caller holds p.mu.
func (p *pool) isSettled(c *conn) bool {
	return p.surplusAt.IsZero() || time.Since(p.surplusAt) > surplusMemory || time.Since(c.idleSince) > settleTime
}

// dial opens a connection in a slot that was reserved before, and releases the slot
// on failure.
func (p *pool) dial(deadline time.Time) (*conn, error) {
	timeout := p.dialTimeout
	if left := time.Until(deadline); left < timeout {
		timeout = left
	}
	dialer := net.Dialer{Timeout: max(timeout, time.Nanosecond), Control: p.setReceiveBuffer}
	raw, err := dialer.Dial("tcp", p.addr)
	if err != nil {
		p.releaseSlot()
		return nil, err
	}
	c, err := newConn(raw)
	if err != nil {
		_ = raw.Close()
		p.releaseSlot()
		return nil, err
	}
	return c, nil
}

// setReceiveBuffer implements net.Dialer.Control. The size is set before the connection is
// opened, since the kernel derives the largest window from it then.
func (p *pool) setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	if p.receiveBuffer == 0 {
		return nil
	}
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, p.receiveBuffer)
	})
	return errors.Join(err, failed)
}

// put returns a connection to the pool. Its last response must have been completely
// read.
func (p *pool) put(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	if !p.closed {
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.discard(c)
}

// discard closes a connection and releases its slot.
func (p *pool) discard(c *conn) {
	_ = c.Close()
	p.releaseSlot()
}

// releaseSlot makes the slot of a closed or failed connection available again.
func (p *pool) releaseSlot() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
	select {
	case p.connClosed <- struct{}{}:
	default:
	}
}

// fill opens connections until n are idle, the pool is full, or one cannot be
// opened.
func (p *pool) fill(n int) error {
	for {
		p.mu.Lock()
		if p.closed || len(p.idle) >= n || p.open >= p.maxConns {
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

// size returns the number of open connections, and how many of them are idle.
func (p *pool) size() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

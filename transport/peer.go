package transport

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/wire"
)

const maxQueuedMessages = 32 // one-way messages queued while a connection is dialed

// peer manages the connection of one class to one address. It dials on use, and
// after a failed dial not before the backoff has passed.
type peer struct {
	pool  *Pool
	addr  string
	class Class

	lockFreeConn atomic.Pointer[clientConn] // copy of conn that is read without mu

	mu       sync.Mutex
	conn     *clientConn
	dialing  *dialAttempt // dial in progress, or nil
	failures int          // consecutive failed dials
	retryAt  time.Time    // earliest next dial
	lastErr  error
	queued   [][]byte // one-way messages for the next connection
}

// dialAttempt is one dial, shared by all callers that wait for it. err and conn are
// set before done is closed.
type dialAttempt struct {
	done chan struct{}
	conn *clientConn
	err  error
}

// get returns a usable connection and dials one if necessary. During the backoff
// after a failed dial it returns an error immediately.
func (p *peer) get(ctx context.Context) (*clientConn, error) {
	if conn := p.lockFreeConn.Load(); conn != nil && conn.usable() {
		return conn, nil
	}
	p.mu.Lock()
	if p.conn != nil && p.conn.usable() {
		conn := p.conn
		p.mu.Unlock()
		return conn, nil
	}
	a, err := p.startDialLocked()
	p.mu.Unlock()
	if err != nil {
		return nil, err
	}
	select {
	case <-a.done:
		return a.conn, a.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// removeConn drops the references to a closed connection, so that its buffers can
// be garbage collected.
func (p *peer) removeConn(c *clientConn) {
	p.lockFreeConn.CompareAndSwap(c, nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == c {
		p.conn = nil
	}
}

// startDialLocked returns the dial in progress, or starts one. During the backoff
// it returns an error.
func (p *peer) startDialLocked() (*dialAttempt, error) {
	if p.dialing != nil {
		return p.dialing, nil
	}
	if time.Now().Before(p.retryAt) {
		return nil, &PeerError{Addr: p.addr, Err: p.lastErr}
	}
	a := &dialAttempt{done: make(chan struct{})}
	p.dialing = a
	p.pool.counters.Dials.Add(1)
	go p.connect(a)
	return a, nil
}

func (p *peer) connect(a *dialAttempt) {
	conn, err := p.openConn()
	p.mu.Lock()
	p.dialing = nil
	if err != nil {
		p.dialFailedLocked(err)
		a.err = &PeerError{Addr: p.addr, Err: err}
	} else {
		p.conn, a.conn = conn, conn
		p.lockFreeConn.Store(conn)
		p.failures = 0
		p.flushLocked()
	}
	p.mu.Unlock()
	close(a.done)
}

func (p *peer) openConn() (*clientConn, error) {
	cfg := &p.pool.cfg
	raw, err := dial(p.pool.ctx, p.addr, cfg)
	if err != nil {
		return nil, err
	}
	setUserTimeout(raw)
	reader, hello, err := clientHandshake(raw, p.class, cfg)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	conn := newClientConn(p.addr, p.class, raw, reader, cfg, &p.pool.counters)
	conn.node, conn.onCellMessage = hello.Node, p.pool.onCellMessage
	if !p.pool.track(p, conn) {
		_ = raw.Close()
		return nil, ErrClosed
	}
	return conn, nil
}

func (p *peer) dialFailedLocked(err error) {
	p.pool.counters.FailedDials.Add(1)
	p.failures++
	p.lastErr = err
	p.retryAt = time.Now().Add(backoff(&p.pool.cfg, p.failures))
	p.pool.counters.DroppedFrames.Add(uint64(len(p.queued)))
	p.queued = nil
}

// backoff returns the pause after the given number of consecutive failures. It
// doubles with each failure; a random part of up to half is subtracted.
func backoff(cfg *Config, failures int) time.Duration {
	d := cfg.MinBackoff << min(failures-1, 16)
	if d > cfg.MaxBackoff || d <= 0 {
		d = cfg.MaxBackoff
	}
	return d/2 + rand.N(d/2+1)
}

// send sends a one-way message, or queues it until the connection is dialed. It
// returns false if the message was dropped.
func (p *peer) send(body []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.usable() {
		return p.writeLocked(body)
	}
	if _, err := p.startDialLocked(); err != nil || len(p.queued) >= maxQueuedMessages {
		p.pool.counters.DroppedFrames.Add(1)
		return false
	}
	p.queued = append(p.queued, append([]byte(nil), body...))
	return true
}

// sendIfConnected sends a one-way message if a connection to this incarnation of
// the daemon is open, and reports whether it did.
func (p *peer) sendIfConnected(to ident.Node, body []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil || p.conn.node != to || !p.conn.usable() {
		return false
	}
	return p.writeLocked(body)
}

func (p *peer) writeLocked(body []byte) bool {
	if _, err := p.conn.writer.appendRaw(wire.KindCellMessage, 0, body); err != nil {
		p.pool.counters.DroppedFrames.Add(1)
		return false
	}
	p.pool.counters.FramesOut[p.class].Add(1)
	return true
}

func (p *peer) flushLocked() {
	for _, body := range p.queued {
		p.writeLocked(body)
	}
	p.queued = nil
}

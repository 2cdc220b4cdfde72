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

const maxQueuedMessages = 32 // one-way messages that wait for a connection

// peer is the connection of one class to one address. It dials when it is
// used and never sooner than its backoff allows.
type peer struct {
	pool  *Pool
	addr  string
	class Class

	live atomic.Pointer[clientConn] // conn, for traffic

	mu       sync.Mutex
	conn     *clientConn
	attempt  *attempt  // dial in progress
	failures int       // dials failed in a row
	retryAt  time.Time // earliest next dial
	lastErr  error
	queued   [][]byte // one-way messages for the next connection
}

// attempt is one dial. err and conn are set before done is closed.
type attempt struct {
	done chan struct{}
	conn *clientConn
	err  error
}

// get returns a usable connection. While the backoff lasts it fails at once.
func (p *peer) get(ctx context.Context) (*clientConn, error) {
	if conn := p.live.Load(); conn != nil && conn.usable() {
		return conn, nil
	}
	p.mu.Lock()
	if p.conn != nil && p.conn.usable() {
		conn := p.conn
		p.mu.Unlock()
		return conn, nil
	}
	a, err := p.startLocked()
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

// forget drops a connection that has ended, with its buffers.
func (p *peer) forget(c *clientConn) {
	p.live.CompareAndSwap(c, nil)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == c {
		p.conn = nil
	}
}

// startLocked returns the dial in progress, or a new one.
func (p *peer) startLocked() (*attempt, error) {
	if p.attempt != nil {
		return p.attempt, nil
	}
	if time.Now().Before(p.retryAt) {
		return nil, &PeerError{Addr: p.addr, Err: p.lastErr}
	}
	a := &attempt{done: make(chan struct{})}
	p.attempt = a
	p.pool.count.Dials.Add(1)
	go p.connect(a)
	return a, nil
}

func (p *peer) connect(a *attempt) {
	conn, err := p.open()
	p.mu.Lock()
	p.attempt = nil
	if err != nil {
		p.failedLocked(err)
		a.err = &PeerError{Addr: p.addr, Err: err}
	} else {
		p.conn, a.conn = conn, conn
		p.live.Store(conn)
		p.failures = 0
		p.flushLocked()
	}
	p.mu.Unlock()
	close(a.done)
}

func (p *peer) open() (*clientConn, error) {
	cfg := &p.pool.cfg
	raw, err := dial(p.pool.ctx, p.addr, cfg)
	if err != nil {
		return nil, err
	}
	limitSilence(raw)
	reader, hello, err := clientHandshake(raw, p.class, cfg)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	conn := newClientConn(p.addr, p.class, raw, reader, cfg, &p.pool.count)
	conn.node, conn.message = hello.Node, p.pool.message
	if !p.pool.track(p, conn) {
		_ = raw.Close()
		return nil, ErrClosed
	}
	return conn, nil
}

func (p *peer) failedLocked(err error) {
	p.pool.count.FailedDials.Add(1)
	p.failures++
	p.lastErr = err
	p.retryAt = time.Now().Add(backoff(&p.pool.cfg, p.failures))
	p.pool.count.DroppedFrames.Add(uint64(len(p.queued)))
	p.queued = nil
}

// backoff doubles with each failure and is jittered by half.
func backoff(cfg *Config, failures int) time.Duration {
	d := cfg.MinBackoff << min(failures-1, 16)
	if d > cfg.MaxBackoff || d <= 0 {
		d = cfg.MaxBackoff
	}
	return d/2 + rand.N(d/2+1)
}

// send writes a one-way message, or keeps it for the connection being dialed.
func (p *peer) send(body []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil && p.conn.usable() {
		return p.writeLocked(body)
	}
	if _, err := p.startLocked(); err != nil || len(p.queued) >= maxQueuedMessages {
		p.pool.count.DroppedFrames.Add(1)
		return false
	}
	p.queued = append(p.queued, append([]byte(nil), body...))
	return true
}

// sendOpen writes a one-way message if a connection to exactly this process
// is open.
func (p *peer) sendOpen(to ident.Node, body []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil || p.conn.node != to || !p.conn.usable() {
		return false
	}
	return p.writeLocked(body)
}

func (p *peer) writeLocked(body []byte) bool {
	if _, err := p.conn.writer.raw(wire.KindCellMessage, 0, body); err != nil {
		p.pool.count.DroppedFrames.Add(1)
		return false
	}
	p.pool.count.FramesOut[p.class].Add(1)
	return true
}

func (p *peer) flushLocked() {
	for _, body := range p.queued {
		p.writeLocked(body)
	}
	p.queued = nil
}

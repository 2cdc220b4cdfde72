package transport

import (
	"context"
	"errors"
	"sync"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/wire"
)

// Pool holds the outgoing connections of a daemon. All methods may be called
// by any goroutine.
type Pool struct {
	cfg    Config
	count  Counters
	ctx    context.Context // ends with Close
	cancel context.CancelCauseFunc

	// message takes one-way messages that come back on outgoing connections.
	message func(from ident.Node, body []byte)

	peers sync.Map // peerKey -> *peer

	mu     sync.Mutex
	closed bool
	conns  map[*clientConn]struct{}
	done   sync.WaitGroup
}

type peerKey struct {
	addr  string
	class Class
}

// NewPool returns a pool without connections.
func NewPool(cfg Config) *Pool {
	ctx, cancel := context.WithCancelCause(context.Background())
	p := &Pool{cfg: cfg.withDefaults(), ctx: ctx, cancel: cancel, conns: make(map[*clientConn]struct{})}
	p.done.Go(p.closeIdle)
	return p
}

// Counters returns the pool's traffic counters.
func (p *Pool) Counters() *Counters { return &p.count }

// Send sends a message of the ownership core to the daemon at addr. It does
// not block; the message may be lost. It reports false if it was given up
// already. body is copied.
func (p *Pool) Send(addr string, body []byte) bool {
	return p.peer(addr, ClassControl).send(body)
}

// Call asks the daemon at addr and returns the body of its reply. An error of
// the peer's handler is a CallError.
func (p *Pool) Call(ctx context.Context, addr string, kind wire.CallKind, body []byte) ([]byte, error) {
	conn, err := p.peer(addr, ClassControl).get(ctx)
	if err != nil {
		return nil, err
	}
	f, _, err := conn.ask(ctx, wire.KindCall, wire.KindReply, &wire.Call{Kind: kind, Body: body})
	if err != nil {
		return nil, err
	}
	defer f.Release()
	var reply wire.Reply
	if err := f.Decode(&reply); err != nil {
		return nil, err
	}
	if reply.Error != "" {
		return nil, &CallError{Addr: addr, Message: reply.Error}
	}
	return reply.Body, nil
}

// Do sends a request to the daemon at addr and decodes the answer into resp,
// which the caller releases. sent is false only if no byte of the request was
// written. If ctx ends first the peer is told to cancel, and the error is the
// cause of ctx.
func (p *Pool) Do(ctx context.Context, addr string, req *wire.Request, resp *wire.Response) (sent bool, err error) {
	conn, err := p.peer(addr, classOf(req.Body)).get(ctx)
	if err != nil {
		return false, err
	}
	f, sent, err := conn.ask(ctx, wire.KindRequest, wire.KindResponse, req)
	if errors.Is(err, ErrGoaway) && !sent { // closed since get; there is a new one, or the peer drains
		if conn, err = p.peer(addr, classOf(req.Body)).get(ctx); err != nil {
			return false, err
		}
		f, sent, err = conn.ask(ctx, wire.KindRequest, wire.KindResponse, req)
	}
	if err != nil {
		return sent, err
	}
	if err := f.Decode(resp); err != nil {
		f.Release()
		conn.fail(err)
		return true, &PeerError{Addr: addr, Err: err}
	}
	resp.Attach(f)
	return true, nil
}

// Close closes all connections. Questions that wait get errors.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	conns := p.conns
	p.conns = nil
	p.mu.Unlock()
	p.cancel(ErrClosed)
	for c := range conns {
		c.fail(ErrClosed)
	}
	p.done.Wait()
}

func (p *Pool) peer(addr string, class Class) *peer {
	key := peerKey{addr: addr, class: class}
	if v, ok := p.peers.Load(key); ok {
		return v.(*peer)
	}
	v, _ := p.peers.LoadOrStore(key, &peer{pool: p, addr: addr, class: class})
	return v.(*peer)
}

// track starts the reader of a peer's connection. It reports false if the pool
// is closed.
func (p *Pool) track(owner *peer, c *clientConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[c] = struct{}{}
	p.done.Go(func() {
		c.run()
		owner.forget(c)
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	})
	return true
}

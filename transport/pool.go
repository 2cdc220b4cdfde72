package transport

import (
	"context"
	"errors"
	"sync"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/wire"
)

// Pool holds the outgoing connections of a daemon. It is safe for concurrent use.
type Pool struct {
	cfg      Config
	counters Counters
	ctx      context.Context // ends with Close
	cancel   context.CancelCauseFunc

	// onCellMessage handles one-way messages that arrive on outgoing connections.
	onCellMessage func(from ident.Node, body []byte)

	peers sync.Map // peerKey -> *peer

	mu     sync.Mutex
	closed bool
	conns  map[*clientConn]struct{}
	wg     sync.WaitGroup
}

type peerKey struct {
	addr  string
	class Class
}

// NewPool returns a pool without open connections. The caller closes it with Close.
func NewPool(cfg Config) *Pool {
	ctx, cancel := context.WithCancelCause(context.Background())
	p := &Pool{cfg: cfg.withDefaults(), ctx: ctx, cancel: cancel, conns: make(map[*clientConn]struct{})}
	p.wg.Go(p.closeIdleLoop)
	return p
}

// Counters returns the pool's traffic counters.
func (p *Pool) Counters() *Counters { return &p.counters }

// Send sends a message of package cell to the daemon at addr. It does not block;
// the message may be lost. It returns false if the message was dropped
// immediately. body is copied.
func (p *Pool) Send(addr string, body []byte) bool {
	return p.peer(addr, ClassControl).send(body)
}

// Call sends a call to the daemon at addr and returns the body of the reply. An
// error of the peer's handler is returned as a *CallError.
func (p *Pool) Call(ctx context.Context, addr string, kind wire.CallKind, body []byte) ([]byte, error) {
	conn, err := p.peer(addr, ClassControl).get(ctx)
	if err != nil {
		return nil, err
	}
	f, _, err := conn.roundTrip(ctx, wire.KindCall, wire.KindReply, &wire.Call{Kind: kind, Body: body})
	if err != nil {
		return nil, err
	}
	defer f.Release()
	var reply wire.Reply
	if err := f.Decode(&reply); err != nil {
		p.counters.BadMessages.Add(1)
		return nil, err
	}
	if reply.Error != "" {
		return nil, &CallError{Addr: addr, Message: reply.Error}
	}
	return reply.Body, nil
}

// Do sends a request to the daemon at addr and decodes the answer into resp,
// which the caller must release. sent is false only if the request was not
// written completely: the peer can't have read it then. If ctx ends first, Do sends a cancel frame to the peer, waits for its
// answer for Config.VerdictWait, and returns the cause of ctx if there is none.
func (p *Pool) Do(ctx context.Context, addr string, req *wire.Request, resp *wire.Response) (sent bool, err error) {
	conn, err := p.peer(addr, classOf(req)).get(ctx)
	if err != nil {
		return false, err
	}
	f, sent, err := conn.roundTrip(ctx, wire.KindRequest, wire.KindResponse, req)
	if errors.Is(err, ErrGoaway) && !sent { // the connection began to drain after get; try once more
		if conn, err = p.peer(addr, classOf(req)).get(ctx); err != nil {
			return false, err
		}
		f, sent, err = conn.roundTrip(ctx, wire.KindRequest, wire.KindResponse, req)
	}
	if err != nil {
		return sent, err
	}
	if err := f.Decode(resp); err != nil {
		f.Release()
		p.counters.BadMessages.Add(1)
		return true, &PeerError{Addr: addr, Err: err}
	}
	resp.Attach(f)
	return true, nil
}

// Conns returns the number of connections that are open.
func (p *Pool) Conns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Close closes all connections. Requests and calls in flight fail.
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
	p.wg.Wait()
}

// peer returns the peer for an address and class, and creates it on first use.
func (p *Pool) peer(addr string, class Class) *peer {
	key := peerKey{addr: addr, class: class}
	if v, ok := p.peers.Load(key); ok {
		return v.(*peer)
	}
	v, _ := p.peers.LoadOrStore(key, &peer{pool: p, addr: addr, class: class})
	return v.(*peer)
}

// track adds an established connection to the pool and starts reading from it.
// It returns false if the pool is closed.
func (p *Pool) track(connPeer *peer, c *clientConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[c] = struct{}{}
	p.wg.Go(func() {
		c.run()
		connPeer.removeConn(c)
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	})
	return true
}

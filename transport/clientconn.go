package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/recvlimit"
	"github.com/parsleystack/parsleystack/wire"
)

// silenceTimeout is the time without any frame after which a connection whose RPC is
// given up takes no new RPCs. Those that are pending stay on it, so nothing is lost if
// the peer is only slow.
const silenceTimeout = 500 * time.Millisecond

// clientConn is an established outgoing connection. It carries RPCs: a Request
// frame is answered by a Response frame, a Call frame by a Reply frame. Each RPC has
// a correlation id that is never reused on the connection.
type clientConn struct {
	addr     string
	class    Class
	node     ident.Node // the peer's identity according to its Hello
	conn     net.Conn
	reader   *wire.Reader
	writer   *writer
	counters *Counters
	memory   *recvlimit.Pool // nil if there is no limit

	// onCellMessage handles one-way messages from the peer; if it is nil, they
	// are dropped.
	onCellMessage func(from ident.Node, body []byte)

	verdictWait func(cause error) time.Duration // Config.VerdictWait

	lastReceived   atomic.Int64 // clock.Time of the newest frame
	unusable       atomic.Bool  // err or draining is set
	usedSinceSweep atomic.Bool  // an RPC was sent since the last sweep for idle connections

	mu       sync.Mutex
	nextID   uint64
	pending  map[uint64]*waiter
	draining bool // no new RPC may be sent
	err      error
}

func newClientConn(addr string, class Class, conn net.Conn, reader *wire.Reader, cfg *Config, counters *Counters) *clientConn {
	c := &clientConn{
		addr: addr, class: class, conn: conn, reader: reader, counters: counters, memory: cfg.Memory,
		writer: newWriter(conn, class, cfg), pending: make(map[uint64]*waiter), verdictWait: cfg.VerdictWait,
	}
	if c.memory != nil {
		reader.OnBody(c.releaseReserved)
	}
	return c
}

// usable reports whether new RPCs can be sent.
func (c *clientConn) usable() bool { return !c.unusable.Load() }

// roundTrip sends a frame and waits for the frame of kind want that answers it.
// sent is false only if the frame was not written completely: the peer can't have read it then.
func (c *clientConn) roundTrip(ctx context.Context, kind, want wire.Kind, m msgp.Marshaler) (f wire.Frame, sent bool, err error) {
	w := newWaiter(want)
	if err := c.reserve(w, m); err != nil {
		w.release()
		return wire.Frame{}, false, err
	}
	id, err := c.enqueue(w, kind, m)
	if err != nil {
		w.release()
		return wire.Frame{}, false, err
	}
	select {
	case a := <-w.ch:
		w.release()
		return a.frame, a.sent, a.err
	case <-ctx.Done():
		return c.abandon(ctx, id, w, kind)
	}
}

// reserve takes memory for the response to a request that is expected to be large.
func (c *clientConn) reserve(w *waiter, m msgp.Marshaler) error {
	req, ok := m.(*wire.Request)
	if !ok || c.memory == nil || req.ResponseBytes <= recvlimit.FreeBytes {
		return nil
	}
	w.reserved = c.memory.Open(recvlimit.Daemon, nil)
	return w.reserved.Grow(req.ResponseBytes)
}

// releaseReserved returns the memory that was taken for an answer, which is counted itself from
// then on.
func (c *clientConn) releaseReserved(kind wire.Kind, id uint64) {
	if kind != wire.KindResponse {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.pending[id]; w != nil {
		w.reserved.Release()
	}
}

// enqueue assigns a new id to an RPC, queues its frame and records its waiter.
func (c *clientConn) enqueue(w *waiter, kind wire.Kind, m msgp.Marshaler) (uint64, error) {
	s := newScratch()
	defer s.release()
	var body []byte
	var err error
	if req, ok := m.(*wire.Request); ok && c.writer.scheduled && req.BodyKept && len(req.Body) >= minBulkBody {
		s.b, body, err = wire.AppendDetached(s.b[:0], kind, 0, req, c.writer.maxFrame)
	} else {
		err = s.encode(kind, 0, m, c.writer.maxFrame)
	}
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return 0, &PeerError{Addr: c.addr, Err: c.err}
	}
	if c.draining {
		return 0, ErrGoaway
	}
	c.nextID++
	wire.SetID(s.b, c.nextID)
	position, err := c.writer.appendEncoded(s.b, body)
	if err != nil {
		return 0, err
	}
	w.streamPos, w.streamEnd, w.sentAt = position, position+uint64(len(s.b)+len(body)), clock.Fast()
	if !c.usedSinceSweep.Load() {
		c.usedSinceSweep.Store(true)
	}
	c.pending[c.nextID] = w
	c.counters.FramesOut[c.class].Add(1)
	return c.nextID, nil
}

// abandon ends an RPC whose context has ended. A request is withdrawn if it is still queued as
// a whole; sent is false only then. Otherwise it is canceled at the peer, whose answer is
// returned if it arrives within Config.VerdictWait. A later answer is dropped.
func (c *clientConn) abandon(ctx context.Context, id uint64, w *waiter, kind wire.Kind) (f wire.Frame, sent bool, err error) {
	cause := context.Cause(ctx)
	sent = true
	if kind == wire.KindRequest {
		sent = !c.writer.withdraw(id, w.streamPos)
		if wait := c.verdictWait(cause); sent && wait > 0 {
			timer := time.NewTimer(wait)
			defer timer.Stop()
			select {
			case a := <-w.ch:
				w.release()
				return a.frame, a.sent, a.err
			case <-timer.C:
			}
		}
	}
	c.mu.Lock()
	_, pending := c.pending[id]
	delete(c.pending, id)
	c.mu.Unlock()
	if pending {
		defer c.closeIfDrained()
		if c.silentSince(w.sentAt) {
			c.counters.SilentConns.Add(1)
			c.drain()
		}
		w.release()
		return wire.Frame{}, sent, cause
	}
	a := <-w.ch
	w.release()
	if a.err != nil {
		return wire.Frame{}, sent && a.sent, cause
	}
	a.frame.Release()
	return wire.Frame{}, true, cause
}

// silentSince reports whether an RPC that was sent at a time has waited for
// silenceTimeout in which nothing arrived on the connection. An open connection can
// stop delivering data without a reset.
func (c *clientConn) silentSince(sent clock.Time) bool {
	return clock.Time(c.lastReceived.Load()) < sent && clock.Fast().Sub(sent) >= silenceTimeout
}

// run reads frames until the connection ends, and then fails all pending RPCs.
func (c *clientConn) run() {
	go func() {
		err := c.writer.run(func(n int) { c.counters.BytesOut[c.class].Add(uint64(n)) })
		c.fail(err)
	}()
	for {
		before := c.reader.Bytes()
		f, err := c.reader.Next()
		if err != nil {
			c.fail(err)
			return
		}
		c.counters.BytesIn[c.class].Add(c.reader.Bytes() - before)
		c.counters.FramesIn[c.class].Add(1)
		c.lastReceived.Store(int64(clock.Fast()))
		if err := c.dispatch(f); err != nil {
			c.counters.BadConns.Add(1)
			c.fail(err)
			return
		}
	}
}

func (c *clientConn) dispatch(f wire.Frame) error {
	switch f.Kind {
	case wire.KindResponse, wire.KindReply:
		return c.deliver(f)
	case wire.KindCellMessage:
		if c.onCellMessage != nil && f.Refused == nil {
			c.onCellMessage(c.node, f.Body)
		}
		f.Release()
		return nil
	case wire.KindGoaway:
		f.Release()
		c.drain()
		return nil
	}
	f.Release()
	return &wire.MalformedError{Detail: "unexpected " + f.Kind.String() + " frame from a server"}
}

// drain stops new RPCs on the connection and closes it after the last pending
// answer has arrived. The close shows the server that no more frames follow.
func (c *clientConn) drain() {
	c.mu.Lock()
	c.draining = true
	c.unusable.Store(true)
	c.mu.Unlock()
	c.closeIfDrained()
}

func (c *clientConn) closeIfDrained() {
	c.mu.Lock()
	done := c.draining && len(c.pending) == 0 && c.err == nil
	c.mu.Unlock()
	if done {
		c.fail(ErrGoaway)
	}
}

// deliver passes an answer to its waiter. An answer of the wrong kind, or with an
// id that was never used, is a protocol error; one whose RPC was abandoned is
// counted as late and dropped.
func (c *clientConn) deliver(f wire.Frame) error {
	c.mu.Lock()
	w := c.pending[f.ID]
	if w != nil && w.wantKind != f.Kind {
		c.mu.Unlock()
		return &wire.MalformedError{Detail: f.Kind.String() + " frame does not match the kind of its request"}
	}
	delete(c.pending, f.ID)
	unknown := f.ID > c.nextID
	c.mu.Unlock()
	defer c.closeIfDrained()
	if unknown {
		f.Release()
		return &wire.MalformedError{Detail: "answer with a correlation id that was never used"}
	}
	if w == nil {
		c.counters.LateAnswers.Add(1)
		f.Release()
		return nil
	}
	w.ch <- answer{frame: f, sent: true, err: f.Refused}
	return nil
}

// fail closes the connection and fails all pending RPCs.
func (c *clientConn) fail(err error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = err
	c.unusable.Store(true)
	pending := c.pending
	c.pending = nil
	c.mu.Unlock()
	c.writer.fail(err)
	_ = c.conn.Close()
	if len(pending) > 0 {
		<-c.writer.stopped // the number of written bytes is final then
	}
	for _, w := range pending {
		w.ch <- answer{sent: c.writer.maybeSent(w.streamEnd), err: &PeerError{Addr: c.addr, Err: err}}
	}
}

package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/tinylib/msgp/msgp"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/wire"
)

// clientConn is an established connection that questions are sent on. Each
// question has an id that is never used twice on the connection.
type clientConn struct {
	addr   string
	class  Class
	node   ident.Node // the peer as it named itself
	conn   net.Conn
	reader *wire.Reader
	writer *writer
	count  *Counters

	// message takes one-way messages of the peer; they are dropped if nil.
	message func(from ident.Node, body []byte)

	unusable atomic.Bool // err or goaway is set
	used     atomic.Bool // a question was sent since idle connections were looked for

	mu      sync.Mutex
	nextID  uint64
	waiting map[uint64]*waiter
	goaway  bool
	err     error
}

func newClientConn(addr string, class Class, conn net.Conn, reader *wire.Reader, cfg *Config, count *Counters) *clientConn {
	return &clientConn{
		addr: addr, class: class, conn: conn, reader: reader, count: count,
		writer: newWriter(conn, cfg), waiting: make(map[uint64]*waiter),
	}
}

// usable reports whether new questions can be sent.
func (c *clientConn) usable() bool { return !c.unusable.Load() }

// ask sends a question and waits for its answer. sent is false only if no byte
// of the question was written.
func (c *clientConn) ask(ctx context.Context, kind, want wire.Kind, m msgp.Marshaler) (f wire.Frame, sent bool, err error) {
	w := newWaiter(want)
	id, err := c.register(w, kind, m)
	if err != nil {
		w.free()
		return wire.Frame{}, false, err
	}
	select {
	case a := <-w.ch:
		w.free()
		return a.frame, a.sent, a.err
	case <-ctx.Done():
		return wire.Frame{}, true, c.abandon(ctx, id, w, kind)
	}
}

// register writes the question under a new id.
func (c *clientConn) register(w *waiter, kind wire.Kind, m msgp.Marshaler) (uint64, error) {
	s := newScratch()
	defer s.free()
	if err := s.encode(kind, 0, m, c.writer.limit); err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return 0, &PeerError{Addr: c.addr, Err: c.err}
	}
	if c.goaway {
		return 0, ErrGoaway
	}
	c.nextID++
	wire.SetID(s.b, c.nextID)
	position, err := c.writer.encoded(s.b)
	if err != nil {
		return 0, err
	}
	w.position = position
	if !c.used.Load() {
		c.used.Store(true)
	}
	c.waiting[c.nextID] = w
	c.count.FramesOut[c.class].Add(1)
	return c.nextID, nil
}

// abandon stops waiting for an answer. An answer that comes later finds no
// waiter and is dropped.
func (c *clientConn) abandon(ctx context.Context, id uint64, w *waiter, kind wire.Kind) error {
	c.mu.Lock()
	_, waits := c.waiting[id]
	delete(c.waiting, id)
	c.mu.Unlock()
	if waits {
		defer c.closeIfDone()
		w.free()
		if kind == wire.KindRequest {
			_, _ = c.writer.raw(wire.KindCancel, id, nil)
		}
		return context.Cause(ctx)
	}
	a := <-w.ch
	a.frame.Release()
	w.free()
	return context.Cause(ctx)
}

// run reads answers until the connection ends, and fails all waiters then.
func (c *clientConn) run() {
	go func() {
		err := c.writer.run(func(n int) { c.count.BytesOut[c.class].Add(uint64(n)) })
		c.fail(err)
	}()
	for {
		before := c.reader.Bytes()
		f, err := c.reader.Next()
		if err != nil {
			c.fail(err)
			return
		}
		c.count.BytesIn[c.class].Add(c.reader.Bytes() - before)
		c.count.FramesIn[c.class].Add(1)
		if err := c.dispatch(f); err != nil {
			c.count.BadConns.Add(1)
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
		if c.message != nil {
			c.message(c.node, f.Body)
		}
		f.Release()
		return nil
	case wire.KindGoaway:
		f.Release()
		c.leave()
		return nil
	}
	f.Release()
	return &wire.GarbageError{What: "unexpected " + f.Kind.String() + " frame from a server"}
}

// leave takes no new question. The connection is closed when the last answer
// has come, which tells the server that nothing is on its way any more.
func (c *clientConn) leave() {
	c.mu.Lock()
	c.goaway = true
	c.unusable.Store(true)
	c.mu.Unlock()
	c.closeIfDone()
}

func (c *clientConn) closeIfDone() {
	c.mu.Lock()
	done := c.goaway && len(c.waiting) == 0 && c.err == nil
	c.mu.Unlock()
	if done {
		c.fail(ErrGoaway)
	}
}

// deliver hands an answer to its waiter. An answer of the wrong kind is a
// protocol error; one that nobody waits for is dropped.
func (c *clientConn) deliver(f wire.Frame) error {
	c.mu.Lock()
	w := c.waiting[f.ID]
	if w != nil && w.want != f.Kind {
		c.mu.Unlock()
		return &wire.GarbageError{What: f.Kind.String() + " frame answers a question of another kind"}
	}
	delete(c.waiting, f.ID)
	unknown := f.ID > c.nextID
	c.mu.Unlock()
	defer c.closeIfDone()
	if unknown {
		f.Release()
		return &wire.GarbageError{What: "answer to a question that was never asked"}
	}
	if w == nil {
		c.count.LateAnswers.Add(1)
		f.Release()
		return nil
	}
	w.ch <- answer{frame: f, sent: true}
	return nil
}

// fail closes the connection and answers all waiters.
func (c *clientConn) fail(err error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = err
	c.unusable.Store(true)
	waiting := c.waiting
	c.waiting = nil
	c.mu.Unlock()
	c.writer.fail(err)
	_ = c.conn.Close()
	for _, w := range waiting {
		w.ch <- answer{sent: c.writer.written(w.position), err: &PeerError{Addr: c.addr, Err: err}}
	}
}

package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/wire"
)

// retryNoMemory is the Retry-After of a request for which there is no memory.
const retryNoMemory = 100 * time.Millisecond

// serverConn is one accepted connection.
type serverConn struct {
	server    *Server
	conn      net.Conn
	peerHello wire.Hello
	class     Class
	reader    *wire.Reader
	writer    *writer
	ctx       context.Context
	cancel    context.CancelFunc

	// received holds the requests that were read and not yet passed to the handler, and
	// receivedSince is when the first of them was read.
	received      []*Exchange
	receivedSince clock.Time

	mu        sync.Mutex
	exchanges map[uint64]*Exchange
	lastID    uint64
}

// run reads frames until the connection ends. The caller closes c.
func (c *serverConn) run() error {
	go func() {
		_ = c.writer.run(func(n int) { c.server.counters.BytesOut[c.class].Add(uint64(n)) })
		_ = c.conn.Close()
	}()
	for {
		if len(c.received) > 0 && clock.Now().Sub(c.receivedSince) > maxReceiving {
			c.startReceived()
		}
		before := c.reader.Bytes()
		f, err := c.reader.Next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		c.server.counters.BytesIn[c.class].Add(c.reader.Bytes() - before)
		c.server.counters.FramesIn[c.class].Add(1)
		if err := c.dispatch(f); err != nil {
			return err
		}
	}
}

// dispatch handles a frame. An error ends the connection; a message in a valid frame that
// cannot be decoded ends only its own exchange.
func (c *serverConn) dispatch(f wire.Frame) error {
	switch f.Kind {
	case wire.KindRequest:
		return c.handleRequest(f)
	case wire.KindCancel:
		c.cancelExchange(f.ID)
		f.Release()
		return nil
	case wire.KindCellMessage:
		if f.Refused == nil { // else it is lost, as it may be on its way
			c.server.handler.ServeCellMessage(c.peerHello.Node, f.Body)
		}
		f.Release()
		return nil
	case wire.KindCall:
		return c.handleCall(f)
	}
	f.Release()
	return &wire.MalformedError{Detail: "unexpected " + f.Kind.String() + " frame from a client"}
}

// checkNewID checks that an id was not used before on this connection. Ids must
// increase.
func (c *serverConn) checkNewID(id uint64) error {
	if id <= c.lastID {
		return &wire.MalformedError{Detail: "correlation id was used before"}
	}
	c.lastID = id
	return nil
}

func (c *serverConn) handleRequest(f wire.Frame) error {
	if err := c.checkNewID(f.ID); err != nil {
		return err
	}
	if f.Refused != nil {
		return c.refuse(f.ID)
	}
	e := exchangePool.Get().(*Exchange)
	if err := f.Decode(&e.Request); err != nil {
		e.Request.Reset()
		exchangePool.Put(e)
		c.server.recordBadMessage(c.peerHello.Node, err)
		f.Release()
		return c.respond(f.ID, &wire.Response{Kind: outcome.NotRun, Reason: outcome.ConnectionLost}, clock.Never) // another daemon may understand it
	}
	if err := f.CountHeaders(len(e.Request.Headers)); err != nil {
		e.Request.Reset()
		exchangePool.Put(e)
		f.Release()
		return c.refuse(f.ID)
	}
	e.conn, e.id, e.frame, e.From = c, f.ID, f, c.peerHello.Node
	if e.Request.Objective > 0 {
		e.due = clock.Now().Add(e.Request.Objective)
	}
	c.mu.Lock()
	c.exchanges[f.ID] = e
	c.mu.Unlock()
	if len(c.received) == 0 {
		c.receivedSince = clock.Now()
	}
	c.received = append(c.received, e)
	return nil
}

// refuse answers a request for which there is no memory.
func (c *serverConn) refuse(id uint64) error {
	return c.respond(id, &wire.Response{Kind: outcome.NotRun, Reason: outcome.Overloaded, RetryAfter: retryNoMemory}, clock.Never)
}

// maxReceiving is how long a request waits for the frames behind it that have arrived, on a
// connection on which there are always more.
const maxReceiving = 20 * time.Millisecond

// startReceived passes the requests that were read to the handler. It is called when all bytes
// that have arrived were read, also those of an incomplete frame: a cancellation that has arrived
// behind its request comes first. After a time without the processor there may be more of them
// than the reader's buffer holds.
func (c *serverConn) startReceived() {
	for _, e := range c.received {
		c.server.startHandler(e)
	}
	clear(c.received)
	c.received = c.received[:0]
}

func (c *serverConn) handleCall(f wire.Frame) error {
	if err := c.checkNewID(f.ID); err != nil {
		return err
	}
	if f.Refused != nil {
		_ = c.writer.writeFrame(wire.KindReply, f.ID, &wire.Reply{Error: f.Refused.Error()}) // to a peer that has disconnected
		return nil
	}
	var call wire.Call
	if err := f.Decode(&call); err != nil {
		c.server.recordBadMessage(c.peerHello.Node, err)
		f.Release()
		_ = c.writer.writeFrame(wire.KindReply, f.ID, &wire.Reply{Error: err.Error()}) // to a peer that has disconnected
		return nil
	}
	id := f.ID
	f.Release()
	c.server.wg.Go(func() {
		body, err := c.server.handler.ServeCall(c.ctx, c.peerHello.Node, call.Kind, call.Body)
		reply := wire.Reply{Body: body}
		if err != nil {
			reply = wire.Reply{Error: err.Error()}
		}
		if err := c.writer.writeFrame(wire.KindReply, id, &reply); err != nil {
			_ = c.writer.writeFrame(wire.KindReply, id, &wire.Reply{Error: err.Error()})
		}
		c.server.counters.FramesOut[c.class].Add(1)
	})
	return nil
}

// cancelExchange cancels the exchange with the given id, if it is in flight.
func (c *serverConn) cancelExchange(id uint64) {
	c.mu.Lock()
	e := c.exchanges[id]
	if e != nil {
		e.cancel()
	}
	c.mu.Unlock()
	c.writer.dropResponse(id)
}

// maxForced is the size in bytes up to which the body of a response is queued although the
// queue is full. Its request was counted with more than that.
const maxForced = 4 << 10

// respond queues a response and removes its exchange. It returns an error only for a
// response that exceeds a limit; one to a peer that has disconnected is dropped. due is
// when the response should be sent; Never if there is no such time.
func (c *serverConn) respond(id uint64, resp *wire.Response, due clock.Time) error {
	err := c.writer.writeResponse(id, resp, due)
	if errors.Is(err, ErrBacklog) {
		err = c.respondBeyondBacklog(id, resp)
	}
	var oversize *wire.OversizeError
	if errors.As(err, &oversize) {
		return err
	}
	c.mu.Lock()
	delete(c.exchanges, id)
	c.mu.Unlock()
	c.server.counters.FramesOut[c.class].Add(1)
	return nil
}

// respondBeyondBacklog queues a response although the queue is full: its request would wait for
// it until its deadline. The body of a larger one is lost, and the outcome unknown to its caller.
func (c *serverConn) respondBeyondBacklog(id uint64, resp *wire.Response) error {
	if resp.Kind == outcome.Done && len(resp.Body) > maxForced {
		resp = &wire.Response{Kind: outcome.Unknown, Reason: outcome.Overloaded, InFlight: resp.InFlight, Capacity: resp.Capacity}
	}
	return c.writer.forceFrame(wire.KindResponse, id, resp)
}

// goaway asks the peer to send no new requests on the connection.
func (c *serverConn) goaway() { _, _ = c.writer.appendRaw(wire.KindGoaway, 0, nil) }

// close closes the connection and cancels all exchanges in flight.
func (c *serverConn) close() {
	c.cancel()
	c.writer.fail(net.ErrClosed)
	_ = c.conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.exchanges {
		e.cancel()
	}
}

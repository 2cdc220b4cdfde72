package transport

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"

	"github.com/parsleystack/parsleystack/wire"
)

// serverConn is one accepted connection.
type serverConn struct {
	server *Server
	conn   net.Conn
	peer   wire.Hello
	class  Class
	reader *wire.Reader
	writer *writer
	ctx    context.Context
	cancel context.CancelFunc

	mu        sync.Mutex
	exchanges map[uint64]*Exchange
	lastID    uint64
}

// run reads frames until the connection ends. The caller closes c.
func (c *serverConn) run() error {
	go func() {
		_ = c.writer.run(func(n int) { c.server.count.BytesOut[c.class].Add(uint64(n)) })
		_ = c.conn.Close()
	}()
	for {
		before := c.reader.Bytes()
		f, err := c.reader.Next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		c.server.count.BytesIn[c.class].Add(c.reader.Bytes() - before)
		c.server.count.FramesIn[c.class].Add(1)
		if err := c.dispatch(f); err != nil {
			return err
		}
	}
}

func (c *serverConn) dispatch(f wire.Frame) error {
	switch f.Kind {
	case wire.KindRequest:
		return c.request(f)
	case wire.KindCancel:
		c.cancelExchange(f.ID)
		f.Release()
		return nil
	case wire.KindCellMessage:
		c.server.handler.ServeCellMessage(c.peer.Node, f.Body)
		f.Release()
		return nil
	case wire.KindCall:
		return c.call(f)
	}
	f.Release()
	return &wire.GarbageError{What: "unexpected " + f.Kind.String() + " frame from a client"}
}

// fresh checks that an id was never used on this connection.
func (c *serverConn) fresh(id uint64) error {
	if id <= c.lastID {
		return &wire.GarbageError{What: "correlation id used twice"}
	}
	c.lastID = id
	return nil
}

func (c *serverConn) request(f wire.Frame) error {
	if err := c.fresh(f.ID); err != nil {
		return err
	}
	e := exchanges.Get().(*Exchange)
	if err := f.Decode(&e.Request); err != nil {
		return err
	}
	e.conn, e.id, e.frame, e.From = c, f.ID, f, c.peer.Node
	c.mu.Lock()
	c.exchanges[f.ID] = e
	c.mu.Unlock()
	c.server.serve(e)
	return nil
}

func (c *serverConn) call(f wire.Frame) error {
	if err := c.fresh(f.ID); err != nil {
		return err
	}
	var call wire.Call
	if err := f.Decode(&call); err != nil {
		return err
	}
	id := f.ID
	f.Release()
	c.server.done.Go(func() {
		body, err := c.server.handler.ServeCall(c.ctx, c.peer.Node, call.Kind, call.Body)
		reply := wire.Reply{Body: body}
		if err != nil {
			reply = wire.Reply{Error: err.Error()}
		}
		if err := c.writer.frame(wire.KindReply, id, &reply); err != nil {
			_ = c.writer.frame(wire.KindReply, id, &wire.Reply{Error: err.Error()})
		}
		c.server.count.FramesOut[c.class].Add(1)
	})
	return nil
}

func (c *serverConn) cancelExchange(id uint64) {
	c.mu.Lock()
	e := c.exchanges[id]
	if e != nil {
		e.cancel()
	}
	c.mu.Unlock()
}

// respond writes an answer and forgets its exchange. Only an oversize answer
// is reported; one for a peer that has left is dropped.
func (c *serverConn) respond(id uint64, resp *wire.Response) error {
	err := c.writer.frame(wire.KindResponse, id, resp)
	var oversize *wire.OversizeError
	if errors.As(err, &oversize) {
		return err
	}
	c.mu.Lock()
	delete(c.exchanges, id)
	c.mu.Unlock()
	c.server.count.FramesOut[c.class].Add(1)
	return nil
}

func (c *serverConn) goaway() { _, _ = c.writer.raw(wire.KindGoaway, 0, nil) }

// close ends the connection and cancels what is in flight.
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

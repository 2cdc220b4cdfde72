package transport

import (
	"sync"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/wire"
)

// Canceler is told that nobody waits for an answer any more. Cancel must
// neither block nor call the exchange.
type Canceler interface {
	Cancel()
}

// Exchange is one request that a Server received. The handler must call
// Respond exactly once.
type Exchange struct {
	Request wire.Request
	From    ident.Node

	conn  *serverConn
	id    uint64
	frame wire.Frame

	mu       sync.Mutex
	canceled bool
	canceler Canceler
}

var exchanges = sync.Pool{New: func() any { return new(Exchange) }}

// OnCancel names whom to tell when the sender leaves. If it has left already,
// c is told at once. It replaces an earlier c; nil tells nobody. When OnCancel
// returns, the earlier c is not being told and never will be.
func (e *Exchange) OnCancel(c Canceler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.canceler = c
	if e.canceled && c != nil {
		c.Cancel()
	}
}

// Canceled reports whether the sender has left.
func (e *Exchange) Canceled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.canceled
}

func (e *Exchange) cancel() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.canceled = true
	if e.canceler != nil {
		e.canceler.Cancel()
	}
}

// Respond sends the answer and ends the exchange; neither e nor its request
// may be used after it. An answer above the size limit is returned as an
// error, and the caller must respond again.
func (e *Exchange) Respond(resp *wire.Response) error {
	if err := e.conn.respond(e.id, resp); err != nil {
		return err
	}
	e.end()
	return nil
}

func (e *Exchange) end() {
	e.frame.Release()
	e.Request.Reset()
	e.mu.Lock()
	e.conn, e.id, e.From = nil, 0, ident.Node{}
	e.canceled, e.canceler = false, nil
	e.mu.Unlock()
	exchanges.Put(e)
}

package transport

import (
	"sync"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/wire"
)

// Canceler is notified when the sender of a request no longer waits for the
// answer. Cancel is called with the exchange locked: it must neither block nor
// call methods of the exchange.
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
	due   clock.Time // end of the request's latency objective; Never if there is none

	mu       sync.Mutex
	canceled bool
	canceler Canceler
}

var exchangePool = sync.Pool{New: func() any { return new(Exchange) }}

// OnCancel sets the Canceler to call when the sender cancels the request or
// disconnects. If that has already happened, OnCancel calls c.Cancel itself. It
// replaces any earlier Canceler; nil removes it. When OnCancel returns, no call
// of the earlier Canceler is in progress and none will follow.
func (e *Exchange) OnCancel(c Canceler) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.canceler = c
	if e.canceled && c != nil {
		c.Cancel()
	}
}

// Canceled reports whether the sender has canceled the request or disconnected.
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

// Respond sends the response and ends the exchange; neither e nor its request
// may be used afterwards. If the response exceeds a limit, Respond returns a
// *wire.OversizeError or a *wire.HeaderCountError, and the caller must call it again with
// a smaller one.
func (e *Exchange) Respond(resp *wire.Response) error {
	if err := e.conn.respond(e.id, resp, e.due); err != nil {
		return err
	}
	e.recycle()
	return nil
}

// recycle resets e and returns it to the pool.
func (e *Exchange) recycle() {
	e.frame.Release()
	e.Request.Reset()
	e.mu.Lock()
	e.conn, e.id, e.From, e.due = nil, 0, ident.Node{}, clock.Never
	e.canceled, e.canceler = false, nil
	e.mu.Unlock()
	exchangePool.Put(e)
}

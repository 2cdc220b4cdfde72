package callerhttp

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// Handler responds to requests.
type Handler interface {
	// Prepare examines a request that has been read, on the goroutine that reads the
	// connection. It returns nil if it has set the response.
	Prepare(x *Exchange) Work
	// ReadError sets the response to a request that could not be read. The connection is
	// closed after it.
	ReadError(x *Exchange, err error)
	// TurnAwaited reports how long a response was ready before those in front of it had
	// been written.
	TurnAwaited(time.Duration)
}

// Work is a request that has been prepared. One of Serve, Refuse and Discard is called once.
type Work interface {
	// Idempotent reports whether the request may be begun although an earlier response may
	// close the connection.
	Idempotent() bool
	// Deadline returns the time from which on the request is refused if it has not been begun.
	Deadline() clock.Time
	// Serve runs the request and sets the response.
	Serve()
	// Refuse sets the response of a request that was not begun before its deadline.
	Refuse()
	// Discard is called for a request that is not begun since its connection has closed.
	Discard()
	// Cancel is called when the caller has closed the connection, on any goroutine and
	// maybe after the request has ended. It must not block.
	Cancel()
	// Release is called when the response has been written or dropped.
	Release()
}

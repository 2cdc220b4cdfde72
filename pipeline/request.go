package pipeline

import "github.com/parsleystack/parsleystack/clock"

// Request is what a Queue needs to know of a request that has been read.
type Request struct {
	// Idempotent states that the request may be begun although an earlier response may
	// close the connection, after which the caller sends it again.
	Idempotent bool
	// Answered states that its response is ready, so that it is never begun.
	Answered bool
	// Last states that its response closes the connection: nothing is read after it.
	Last bool
	// Deadline is the time from which on it may not be begun.
	Deadline clock.Time
	// Bytes is the size of its body.
	Bytes int
}

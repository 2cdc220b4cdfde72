// Package coldstart paces the requests to a target that is in cold start: for some time
// after its start it tolerates only a few requests a second, and crashes if it gets more.
//
// All requests to a target pass one Tracker, so the limit holds over all daemons without a
// message between them. Requests are spaced by a token bucket. A second rule counts the
// requests that may have arrived within the last second: a target that has not begun to
// accept connections, or is suspended, later gets all at once what was sent to it
// meanwhile.
//
// The package does no I/O, reads no clock and has no lock; its values must be used by one
// goroutine at a time.
package coldstart

// Package ratelimit tracks the limit of requests a second that a target states in its
// responses, and paces requests by it. It does no I/O, reads no clock and has no lock; its
// values must be used by one goroutine at a time.
package ratelimit

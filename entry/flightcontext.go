package entry

import (
	"sync/atomic"
	"time"
)

// flightContext is the context of one request. It is ended by the watcher when
// the deadline passes or the caller leaves, so that a request costs no timer.
// It is reused unless it was ended.
type flightContext struct {
	done  chan struct{}
	cause atomic.Pointer[error]
}

func newFlightContext() *flightContext { return &flightContext{done: make(chan struct{})} }

// Deadline implements context.Context. The deadline is the watcher's matter.
func (c *flightContext) Deadline() (time.Time, bool) { return time.Time{}, false }

// Done implements context.Context.
func (c *flightContext) Done() <-chan struct{} { return c.done }

// Err implements context.Context. It returns errDeadline or errCallerLeft.
func (c *flightContext) Err() error {
	if cause := c.cause.Load(); cause != nil {
		return *cause
	}
	return nil
}

// Value implements context.Context.
func (c *flightContext) Value(any) any { return nil }

// end ends the context. Later calls have no effect.
func (c *flightContext) end(cause error) {
	if c.cause.CompareAndSwap(nil, &cause) {
		close(c.done)
	}
}

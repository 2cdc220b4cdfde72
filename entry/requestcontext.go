package entry

import (
	"sync/atomic"
	"time"
)

// requestContext is the context of one request. The watcher ends it when the
// deadline passes, the caller disconnects or the owner is replaced, so that no
// request needs its own timer. It is reused unless it was ended.
type requestContext struct {
	done  chan struct{}
	cause atomic.Pointer[error]
}

func newRequestContext() *requestContext { return &requestContext{done: make(chan struct{})} }

// Deadline implements context.Context. It reports no deadline; the watcher
// enforces it.
func (c *requestContext) Deadline() (time.Time, bool) { return time.Time{}, false }

// Done implements context.Context.
func (c *requestContext) Done() <-chan struct{} { return c.done }

// Err implements context.Context. It returns nil, errDeadline,
// errCallerDisconnected or errOwnerReplaced.
func (c *requestContext) Err() error {
	if cause := c.cause.Load(); cause != nil {
		return *cause
	}
	return nil
}

// Value implements context.Context.
func (c *requestContext) Value(any) any { return nil }

// end ends the context. Later calls have no effect.
func (c *requestContext) end(cause error) {
	if c.cause.CompareAndSwap(nil, &cause) {
		close(c.done)
	}
}

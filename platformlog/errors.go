package platformlog

import "fmt"

// UnavailableError reports that the log did not accept or answer the call and
// that the call had no effect.
type UnavailableError struct {
	Op     string // "append" or "read"
	Stream Stream
	Cause  error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platformlog: %s on stream %q had no effect: %v; retry with backoff, and check the log service if it lasts", e.Op, e.Stream, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports an append whose answer was lost.
type UnknownOutcomeError struct {
	Stream Stream
	Cause  error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("platformlog: append to stream %q may have taken effect: %v; read the stream on to settle it before any new append", e.Stream, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// GapError reports that records before Earliest have expired, so that a reader
// that needs offset From cannot be complete without a snapshot.
type GapError struct {
	Stream   Stream
	From     Offset
	Earliest Offset
}

func (e *GapError) Error() string {
	return fmt.Sprintf("platformlog: stream %q no longer holds offset %d (oldest kept is %d); start from a snapshot, or have an operator publish the state again", e.Stream, e.From, e.Earliest)
}

package platformlog

import "fmt"

// UnavailableError reports that the log service rejected the call or could not
// be reached, and that the call had no effect.
type UnavailableError struct {
	Op     string // "append" or "read"
	Stream Stream
	Cause  error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platformlog: %s on stream %q had no effect: %v; retry with backoff, and check the log service if the error persists", e.Op, e.Stream, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports an append whose response was lost. The record
// may or may not be part of the stream.
type UnknownOutcomeError struct {
	Stream Stream
	Cause  error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("platformlog: append to stream %q may have taken effect: %v; read the stream to determine the outcome before the next append", e.Stream, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// TruncatedError reports that the stream is truncated: records before
// Earliest have expired, so a reader that needs offset From cannot obtain the
// full state without a snapshot.
type TruncatedError struct {
	Stream   Stream
	From     Offset // offset that the read asked for
	Earliest Offset // offset of the oldest record still available
}

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("platformlog: stream %q no longer contains offset %d (earliest available offset is %d); start from a snapshot, or have an operator publish the state again", e.Stream, e.From, e.Earliest)
}

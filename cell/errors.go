package cell

import (
	"fmt"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// DecodeError reports bytes that are not a valid message or record.
type DecodeError struct {
	What   string // "message" or "record"
	Reason string
	Cause  error
}

func (e *DecodeError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("cell: invalid %s: %s: %v; check which program wrote it", e.What, e.Reason, e.Cause)
	}
	return fmt.Sprintf("cell: invalid %s: %s; check which program wrote it", e.What, e.Reason)
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// VersionError reports a message or record of a newer version than this
// package supports.
type VersionError struct {
	What string // "message" or "record"
	Got  int
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("cell: %s of version %d, but this program supports versions up to %d; upgrade this daemon", e.What, e.Got, Version)
}

// StreamTruncatedError reports that the cell's stream was truncated before this node
// read the records in [From, Earliest), and that no snapshot replacing them
// has been found.
type StreamTruncatedError struct {
	From     platformlog.Offset
	Earliest platformlog.Offset
}

func (e *StreamTruncatedError) Error() string {
	return fmt.Sprintf("cell: the stream is truncated: records from %d to before %d are missing and no snapshot covers them; have a running daemon write a snapshot, or start the cell on a new stream", e.From, e.Earliest)
}

// SupersededError reports that a newer process of the same instance has been
// announced, or that an operator has confirmed the loss of this process.
type SupersededError struct {
	Self ident.Node
}

func (e *SupersededError) Error() string {
	return fmt.Sprintf("cell: %v has been replaced by a newer process of its instance, or declared lost; stop this process, and start a new one if the instance should still serve", e.Self)
}

// CellFullError reports that the cell holds MaxMembers members.
type CellFullError struct {
	Self ident.Node
}

func (e *CellFullError) Error() string {
	return fmt.Sprintf("cell: %v cannot join, the cell has %d members; assign the instance to another cell", e.Self, MaxMembers)
}

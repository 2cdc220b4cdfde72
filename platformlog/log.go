// Package platformlog is the interface to the platform's append-only log
// service and its HTTP client.
//
// The log supports only append and read: there is no conditional append and no
// deletion. Records expire after a retention time. An append whose response
// was lost may have taken effect, or may still take effect later. Callers
// determine the outcome by reading the stream until their record appears or
// can no longer have an effect; they must not simply retry the append.
package platformlog

import "context"

// Stream is the name of one append-only stream.
type Stream string

// Offset is the position of a record in its stream. The first record of a
// stream has offset 1; offset 0 precedes every record.
type Offset uint64

// Record is one record of a stream.
type Record struct {
	Offset  Offset
	Time    int64 // append time by the log service's wall clock, Unix nanoseconds
	Payload []byte
}

// Batch is the result of a read. Records are in ascending order of offsets.
type Batch struct {
	Records  []Record
	Earliest Offset // offset of the oldest record still available; Next if the stream has none
	Next     Offset // offset that the next append is assigned, as of this read
}

// AtTail reports whether the batch, read from offset from, extends to the end
// of the stream at the time of the read.
func (b Batch) AtTail(from Offset) bool {
	end := from
	if n := len(b.Records); n > 0 {
		end = b.Records[n-1].Offset + 1
	}
	return end >= b.Next
}

// Log is the platform's log service. Implementations are safe for concurrent
// use. Errors are *UnavailableError, *UnknownOutcomeError, *TruncatedError or a
// context error.
type Log interface {
	// Append adds payload to the end of stream and returns its offset.
	// An *UnknownOutcomeError means that the record may be part of the stream
	// or may still become part of it later. An *UnavailableError means that
	// the record is not and will not become part of the stream.
	Append(ctx context.Context, stream Stream, payload []byte) (Offset, error)

	// Read returns at most limit records of stream, starting at offset from.
	// If there is no such record yet, it waits for one until the deadline of
	// ctx or the long-poll time of the implementation has passed. If from
	// precedes the oldest record still available, it returns a *TruncatedError.
	Read(ctx context.Context, stream Stream, from Offset, limit int) (Batch, error)
}

// Package platformlog is the interface to the platform's append-only log
// service and its HTTP client.
//
// The log offers append and read, nothing else: no conditional append and no
// deletion. Records expire after a retention time. An append whose answer was
// lost may have taken effect, or may still take effect later; callers settle
// it by reading on until their record shows up or cannot matter any more, and
// never by blindly sending it again.
package platformlog

import "context"

// Stream is the name of one append-only stream.
type Stream string

// Offset is the position of a record in its stream. The first record of a
// stream has offset 1; 0 stands before every record.
type Offset uint64

// Record is one record of a stream.
type Record struct {
	Offset  Offset
	Time    int64 // append time by the log service's wall clock, Unix nanoseconds
	Payload []byte
}

// Batch is the answer to a read.
type Batch struct {
	Records  []Record
	Earliest Offset // offset of the oldest record still kept; Next if the stream holds none
	Next     Offset // offset that the next append will get, as of this read
}

// AtTail reports whether the batch reaches the end of the stream as it was at
// the time of the read.
func (b Batch) AtTail(from Offset) bool {
	end := from
	if n := len(b.Records); n > 0 {
		end = b.Records[n-1].Offset + 1
	}
	return end >= b.Next
}

// Log is the platform's log service. Implementations are safe for concurrent
// use. Errors are *UnavailableError, *UnknownOutcomeError, *GapError or a
// context error.
type Log interface {
	// Append adds payload to the end of stream and returns its offset.
	// An *UnknownOutcomeError means that the record may or may not be, or yet
	// become, part of the stream. An *UnavailableError means that it is not.
	Append(ctx context.Context, stream Stream, payload []byte) (Offset, error)

	// Read returns records of stream from offset from on, at most limit of
	// them. It waits up to the context's deadline or the adapter's long-poll
	// time for a record if there is none yet. If from lies before the oldest
	// record still kept, it returns a *GapError.
	Read(ctx context.Context, stream Stream, from Offset, limit int) (Batch, error)
}

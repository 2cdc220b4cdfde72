package wire

import (
	"errors"
	"io"
	"os"
	"time"
)

// errEvicted reports that the frame that is being received was evicted.
var errEvicted = errors.New("wire: frame was evicted")

// pastDeadline is a deadline that makes a read return immediately.
var pastDeadline = time.Unix(1, 0)

// source is the connection of a Reader. Its reads are interrupted when the frame that is being
// received is evicted; a connection is not closed for that, since other exchanges use it.
type source struct {
	r      io.Reader
	reader *Reader
}

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	for {
		n, err := s.r.Read(p)
		r := s.reader
		if n > 0 || err == nil || r.memory == nil || r.conn == nil || !errors.Is(err, os.ErrDeadlineExceeded) || r.expired() {
			return n, err
		}
		// interrupt has replaced the deadline, for this frame or an earlier one.
		if err := r.conn.SetReadDeadline(r.deadline); err != nil {
			return 0, err
		}
		if r.held.Evicted() {
			return 0, errEvicted
		}
	}
}

// interrupt ends a read in progress. It is called on any goroutine.
func (r *Reader) interrupt() {
	_ = r.conn.SetReadDeadline(pastDeadline) // a connection that has failed ends the read, too
}

// expired reports whether the time of the frame that is being received has passed.
func (r *Reader) expired() bool { return !r.deadline.IsZero() && !time.Now().Before(r.deadline) }

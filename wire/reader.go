package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"time"

	"github.com/parsleystack/parsleystack/recvlimit"
)

const (
	// initialBufferSize is the size in bytes of the read buffer of a new connection. Most
	// connections of a large fleet carry small control messages only.
	initialBufferSize = 2 << 10
	// requestBufferSize is the size in bytes of the read buffer of a connection for requests,
	// so that a cancellation that arrives with its request is seen before it is started.
	requestBufferSize = 16 << 10
)

// Reader reads frames from a connection. It is not safe for concurrent use.
type Reader struct {
	source    io.Reader
	r         *bufio.Reader
	limit     int
	bytesRead uint64
	conn      DeadlineSetter // nil if the time of a frame is not bounded
	timeout   time.Duration
	deadline  time.Time                  // of the frame that is being received; zero if there is none
	memory    *recvlimit.Pool            // nil if the memory of frames is not bounded
	held      *recvlimit.Holding         // of the frame that is being received
	onBody    func(kind Kind, id uint64) // may be nil
	hasty     bool                       // the last response that waited for memory found none
}

// DeadlineSetter sets the deadline of reads from a connection.
type DeadlineSetter interface {
	SetReadDeadline(time.Time) error
}

// NewReader returns a Reader that accepts frames of up to limit bytes.
func NewReader(r io.Reader, limit int) *Reader {
	reader := &Reader{limit: limit}
	reader.source = &source{r: r, reader: reader}
	reader.r = bufio.NewReaderSize(reader.source, initialBufferSize)
	return reader
}

// BufferRequests enlarges the read buffer for a connection that carries requests. It keeps
// the bytes that are buffered.
func (r *Reader) BufferRequests() {
	buffered, _ := r.r.Peek(r.r.Buffered()) // no error, since as many bytes are buffered
	r.r = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), r.source), requestBufferSize)
}

// SetLimit sets the size limit, in bytes, of the frames that follow.
func (r *Reader) SetLimit(limit int) { r.limit = limit }

// SetFrameTimeout bounds the time from the first byte of each following frame to its
// last. conn is the connection that r reads from; its read deadline is changed only
// while an incomplete frame is received.
func (r *Reader) SetFrameTimeout(conn DeadlineSetter, timeout time.Duration) {
	r.conn, r.timeout = conn, timeout
}

// awaitFrame waits for the first byte of a frame. If the frame is not buffered
// completely, it sets the deadline of the frame and returns true.
func (r *Reader) awaitFrame() (deadlineSet bool) {
	if r.conn == nil {
		return false
	}
	if _, err := r.r.Peek(1); err != nil {
		return false // the read that follows returns the error
	}
	if r.Buffered() {
		return false
	}
	r.deadline = time.Now().Add(r.timeout)
	return r.conn.SetReadDeadline(r.deadline) == nil
}

// Buffered reports whether the next frame has been received completely, so that Next does not
// wait for it.
func (r *Reader) Buffered() bool {
	if r.r.Buffered() < lengthSize {
		return false
	}
	prefix, err := r.r.Peek(lengthSize)
	return err == nil && uint64(r.r.Buffered()-lengthSize) >= uint64(binary.BigEndian.Uint32(prefix))
}

// Bytes returns the number of bytes of the frames read so far.
func (r *Reader) Bytes() uint64 { return r.bytesRead }

// Next reads one frame. It returns io.EOF if the connection closed between
// frames; any other error is a TruncatedError, OversizeError or MalformedError. A frame for
// which there is no memory is discarded, and returned with Refused.
func (r *Reader) Next() (Frame, error) {
	if r.awaitFrame() {
		defer func() {
			r.deadline = time.Time{}
			_ = r.conn.SetReadDeadline(r.deadline) // an error shows in the next read
		}()
	}
	var prefix [prefixSize]byte
	if _, err := io.ReadFull(r.r, prefix[:lengthSize]); err != nil {
		return Frame{}, prefixReadError(err)
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length < minLength {
		return Frame{}, &MalformedError{Detail: "frame length is smaller than the frame prefix"}
	}
	if uint64(length) > uint64(r.limit) {
		return Frame{}, &OversizeError{Size: uint64(length), Limit: uint64(r.limit)}
	}
	if _, err := io.ReadFull(r.r, prefix[lengthSize:]); err != nil {
		return Frame{}, &TruncatedError{Err: err}
	}
	f := Frame{Kind: Kind(prefix[lengthSize]), ID: binary.BigEndian.Uint64(prefix[lengthSize+kindSize:])}
	if !f.Kind.valid() {
		return Frame{}, &MalformedError{Detail: "unknown frame " + f.Kind.String()}
	}
	if err := r.readBody(&f, int(length)-minLength); err != nil {
		return Frame{}, err
	}
	r.bytesRead += uint64(length) + lengthSize
	return f, nil
}

// prefixReadError returns io.EOF for a connection that closed before the first byte
// of a frame, and a TruncatedError otherwise.
func prefixReadError(err error) error {
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return io.EOF
	}
	return &TruncatedError{Err: err}
}

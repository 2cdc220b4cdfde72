package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
)

const readBufferSize = 16 << 10 // bytes

// growStep bounds how much memory a frame's length prefix alone can claim;
// longer bodies are allocated as their bytes arrive.
const growStep = 1 << 20 // bytes

// Reader reads frames from a connection. It is used by one goroutine.
type Reader struct {
	r     *bufio.Reader
	limit int
	bytes uint64
}

// NewReader returns a Reader that accepts frames of up to limit bytes.
func NewReader(r io.Reader, limit int) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, readBufferSize), limit: limit}
}

// SetLimit changes the size limit for the frames that follow.
func (r *Reader) SetLimit(limit int) { r.limit = limit }

// Bytes returns the number of bytes of the frames read so far.
func (r *Reader) Bytes() uint64 { return r.bytes }

// Next reads one frame. It returns io.EOF if the connection ended between
// frames, and a TornError, OversizeError or GarbageError otherwise.
func (r *Reader) Next() (Frame, error) {
	var prefix [prefixSize]byte
	if _, err := io.ReadFull(r.r, prefix[:lengthSize]); err != nil {
		return Frame{}, atBoundary(err)
	}
	length := binary.BigEndian.Uint32(prefix[:])
	if length < minLength {
		return Frame{}, &GarbageError{What: "frame is shorter than its prefix"}
	}
	if uint64(length) > uint64(r.limit) {
		return Frame{}, &OversizeError{Size: uint64(length), Limit: uint64(r.limit)}
	}
	if _, err := io.ReadFull(r.r, prefix[lengthSize:]); err != nil {
		return Frame{}, &TornError{Err: err}
	}
	f := Frame{Kind: Kind(prefix[lengthSize]), ID: binary.BigEndian.Uint64(prefix[lengthSize+kindSize:])}
	if !f.Kind.valid() {
		return Frame{}, &GarbageError{What: "unknown frame " + f.Kind.String()}
	}
	if err := r.body(&f, int(length)-minLength); err != nil {
		return Frame{}, err
	}
	r.bytes += uint64(length) + lengthSize
	return f, nil
}

func (r *Reader) body(f *Frame, size int) error {
	if size == 0 {
		return nil
	}
	if size > growStep {
		return r.largeBody(f, size)
	}
	f.buf = newBuffer(size)
	f.Body = f.buf.b
	if _, err := io.ReadFull(r.r, f.Body); err != nil {
		f.Release()
		return &TornError{Err: err}
	}
	return nil
}

func (r *Reader) largeBody(f *Frame, size int) error {
	for len(f.Body) < size {
		at := len(f.Body)
		step := min(growStep, size-at)
		f.Body = append(f.Body, make([]byte, step)...)
		if _, err := io.ReadFull(r.r, f.Body[at:]); err != nil {
			return &TornError{Err: err}
		}
	}
	return nil
}

func atBoundary(err error) error {
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return io.EOF
	}
	return &TornError{Err: err}
}

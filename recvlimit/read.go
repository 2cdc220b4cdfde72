package recvlimit

import (
	"errors"
	"io"
	"time"
)

const (
	// readStep is the size in bytes of the first buffer of a body.
	readStep = 16 << 10
	// roomWait is how long a body waits for room. It is below the half second within which
	// a cancellation must reach the target, since it delays that.
	roomWait = 250 * time.Millisecond
)

// LengthUnknown is the length of a body that ends with its reader.
const LengthUnknown = -1

// ReadBody reads a body of length bytes, or up to the end of r if the length is
// unknown. It allocates memory only as bytes arrive, whatever length the sender has
// stated, and counts it as held; it waits for a short time if there is no room. It returns a
// *MessageError if the body exceeds limit bytes and io.ErrUnexpectedEOF if it is shorter
// than its length.
func ReadBody(r io.Reader, length, limit int, source Source, held *Holding) ([]byte, error) {
	if length > limit {
		return nil, &MessageError{Source: source, Limit: limit}
	}
	end := length
	if length < 0 {
		end = limit + 1
	}
	body := make([]byte, 0, min(end, readStep))
	for len(body) < end {
		if len(body) == cap(body) {
			size := min(2*cap(body), end)
			if err := held.Await(cap(body)+size, roomWait); err != nil { // both exist while the bytes are copied
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
			held.Shrink(size)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF) && length < 0:
			return withinLimit(body, limit, source)
		case errors.Is(err, io.EOF) && len(body) < end:
			return nil, io.ErrUnexpectedEOF
		case err != nil && !errors.Is(err, io.EOF):
			return nil, err
		}
	}
	return withinLimit(body, limit, source)
}

func withinLimit(body []byte, limit int, source Source) ([]byte, error) {
	if len(body) > limit {
		return nil, &MessageError{Source: source, Limit: limit}
	}
	return body, nil
}

package recvlimit

import (
	"errors"
	"io"
)

// readStep is the size in bytes of the first buffer of a body.
const readStep = 16 << 10

// LengthUnknown is the length of a body that ends with its reader.
const LengthUnknown = -1

// ReadBody reads a body of length bytes, or up to the end of r if the length is
// unknown. It allocates memory only as bytes arrive, whatever length the sender has
// stated, and reserves it. It returns a *MessageError if the body exceeds limit bytes
// and io.ErrUnexpectedEOF if it is shorter than its length.
func ReadBody(r io.Reader, length, limit int, source Source, reserved *Reservation) ([]byte, error) {
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
			if err := reserved.Grow(size); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, size), body...)
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

package httphead

import (
	"bufio"
	"errors"
)

// PeekResponse waits until the head of a response has arrived at r, and validates it without
// reading it. It returns the errors of Response, a *SizeError if the head does not fit the buffer
// of r, and otherwise the error of the connection.
func PeekResponse(r *bufio.Reader) (Head, error) {
	var h Head
	err := peek(r, func(b []byte) (int, error) {
		var err error
		h, err = Response(b)
		return h.Size, err
	})
	return h, err
}

// PeekTrailer is PeekResponse for a trailer. It returns its size in bytes.
func PeekTrailer(r *bufio.Reader) (size int, err error) {
	err = peek(r, func(b []byte) (int, error) {
		var err error
		size, err = Trailer(b)
		return size, err
	})
	return size, err
}

// peek validates what r has received, until that is complete.
func peek(r *bufio.Reader, validate func([]byte) (size int, err error)) error {
	for n := 1; ; n = r.Buffered() + 1 {
		if _, err := r.Peek(n); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				return &SizeError{Limit: r.Size()}
			}
			return err
		}
		b, err := r.Peek(r.Buffered())
		if err != nil {
			return err
		}
		if size, err := validate(b); size > 0 || err != nil {
			return err
		}
	}
}

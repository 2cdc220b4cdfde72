package httphead

import (
	"bufio"
	"errors"
)

// PeekResponse waits until the head of a response has arrived at r, and validates it without
// reading it. It returns the errors of Response, a *SizeError if the head does not fit the buffer
// of r, and otherwise the error of the connection.
func PeekResponse(r *bufio.Reader) (Head, error) {
	s := NewResponseScanner()
	size, err := s.peek(r)
	return s.head(size), err
}

// PeekTrailer is PeekResponse for a trailer. It returns its size in bytes.
func PeekTrailer(r *bufio.Reader) (size int, err error) {
	s := NewTrailerScanner()
	return s.peek(r)
}

// peek scans what r has received, until that is complete.
func (s *Scanner) peek(r *bufio.Reader) (size int, err error) {
	for n := 1; ; {
		b, err := await(r, n)
		if err != nil {
			return 0, err
		}
		if size, err := s.Scan(b); size > 0 || err != nil {
			return size, err
		}
		n = len(b) + 1
	}
}

// await waits until r has received n bytes, and returns all that it has, without reading them.
func await(r *bufio.Reader, n int) ([]byte, error) {
	if _, err := r.Peek(n); err != nil {
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, &SizeError{Limit: r.Size()}
		}
		return nil, err
	}
	return r.Peek(r.Buffered())
}

package httphead

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"sync"

	"github.com/valyala/fasthttp"
)

// ReadResponse waits until the head of a response has arrived at r, validates it and parses it into h.
// It returns the errors of PeekResponse, those of the parser, and ErrOtherEnd.
func ReadResponse(r *bufio.Reader, h *fasthttp.ResponseHeader) (Head, error) {
	head, err := PeekResponse(r)
	if err != nil {
		return head, err
	}
	return head, parse(r, head.Size, h, (*fasthttp.ResponseHeader).Read)
}

// ReadTrailer is ReadResponse for the trailer of a response.
func ReadTrailer(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	size, err := PeekTrailer(r)
	if err != nil {
		return err
	}
	return parse(r, size, h, (*fasthttp.ResponseHeader).ReadTrailer)
}

// ParseRequest parses the head of a request, of which Request has returned the size, into h. All of it
// is in the buffer of r. It returns the errors of the parser, and ErrOtherEnd.
func ParseRequest(r *bufio.Reader, size int, h *fasthttp.RequestHeader) error {
	return parse(r, size, h, (*fasthttp.RequestHeader).Read)
}

// ParseRequestTrailer is ParseRequest for a trailer, of which Trailer has returned the size.
func ParseRequestTrailer(r *bufio.Reader, size int, h *fasthttp.RequestHeader) error {
	return parse(r, size, h, (*fasthttp.RequestHeader).ReadTrailer)
}

// section is a reader of a head or trailer that was validated.
type section struct {
	bytes  bytes.Reader
	reader *bufio.Reader
}

// sectionSize is the size in bytes of the heads for which readers are kept.
const sectionSize = 4 << 10

var sectionReaders = sync.Pool{New: func() any {
	s := new(section)
	s.reader = bufio.NewReaderSize(&s.bytes, sectionSize)
	return s
}}

// parse reads size bytes of r with a parser that gets no others, so that it can't end them at another
// place than the validation.
func parse[H any](r *bufio.Reader, size int, h *H, read func(*H, *bufio.Reader) error) error {
	b, err := r.Peek(size)
	if err != nil {
		return err
	}
	s := sectionReaders.Get().(*section)
	defer s.release()
	reader := s.reader
	s.bytes.Reset(b)
	if size > reader.Size() {
		reader = bufio.NewReaderSize(&s.bytes, size)
	}
	reader.Reset(&s.bytes)
	switch err := read(h, reader); {
	case errors.Is(err, io.EOF), err == nil && reader.Buffered()+s.bytes.Len() > 0:
		return ErrOtherEnd
	case err != nil:
		return err
	}
	_, err = r.Discard(size)
	return err
}

// release returns the readers of s, without the bytes.
func (s *section) release() {
	s.bytes.Reset(nil)
	sectionReaders.Put(s)
}

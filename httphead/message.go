package httphead

import "github.com/valyala/fasthttp"

// Head is what Response found out about a complete head.
type Head struct {
	Size    int // bytes, through the empty line that ends the head; 0 if it is not complete
	Status  int
	Chunked bool // it has a Transfer-Encoding; fasthttp accepts chunked alone

	hasLength bool // it has a Content-Length
}

// endsWithConn reports whether the body of a response with this head ends with its connection.
func (h Head) endsWithConn() bool { return h.hasBody() && !h.Chunked && !h.hasLength }

// IsInterim reports whether the head of another response to the same request follows.
func (h Head) IsInterim() bool { return h.Status < 200 && h.Status != statusSwitchingProtocols }

// hasBody reports whether a response with this head to a method other than HEAD may have a body.
func (h Head) hasBody() bool {
	return h.Status >= 200 && h.Status != statusNoContent && h.Status != statusNotModified
}

const (
	statusSwitchingProtocols = 101
	statusNoContent          = 204
	statusNotModified        = 304
)

// Response validates the complete lines of the head of a response at the beginning of b. It returns
// the errors of Scanner.Scan.
func Response(b []byte) (Head, error) {
	s := NewResponseScanner()
	size, err := s.Scan(b)
	return s.head(size), err
}

// head returns the head that was scanned, or none if size is 0.
func (s *Scanner) head(size int) Head {
	if size == 0 {
		return Head{}
	}
	return Head{Size: size, Status: s.status, Chunked: s.hasCoding, hasLength: s.hasLength}
}

// Request validates the complete lines of the head of a request at the beginning of b. It returns
// what Scanner.Scan does.
func Request(b []byte) (size int, err error) {
	s := NewRequestScanner()
	return s.Scan(b)
}

// Trailer is Request for a trailer.
func Trailer(b []byte) (size int, err error) {
	s := NewTrailerScanner()
	return s.Scan(b)
}

// RequestFields validates the fields of the head of a request that a server of fasthttp has read,
// through the empty line.
func RequestFields(h *fasthttp.RequestHeader) error {
	raw := h.RawHeaders()
	s := Scanner{part: PartHead, lines: 1} // the request line
	if len(raw) == 0 {
		// RawHeaders does not tell how a head without fields ended. After one of HTTP/1.0 the
		// connection closes, so that what follows is not read.
		if h.IsHTTP11() {
			return s.fault(nil, "a request of HTTP/1.1 has a Host")
		}
		return nil
	}
	size, err := s.Scan(raw)
	if err != nil {
		return err
	}
	if size != len(raw) {
		return ErrOtherEnd
	}
	return nil
}

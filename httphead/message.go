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
// a *StatusError or *LineError for the first one that is malformed.
func Response(b []byte) (Head, error) {
	s := scanner{part: PartHead, rest: b}
	line, ok, err := s.firstLine()
	if !ok {
		return Head{}, err
	}
	status, err := s.checkStatusLine(line)
	if err != nil {
		return Head{}, err
	}
	complete, err := s.checkFields()
	if err != nil || !complete {
		return Head{}, err
	}
	return Head{Size: len(b) - len(s.rest), Status: status, Chunked: s.hasCoding, hasLength: s.hasLength}, nil
}

// Request validates the complete lines of the head of a request at the beginning of b. It returns
// the size of the head, through the empty line that ends it, or 0 if it is not complete, and a
// *LineError for the first line that is malformed.
func Request(b []byte) (size int, err error) {
	s := scanner{part: PartHead, rest: b}
	line, ok, err := s.firstLine()
	if !ok {
		return 0, err
	}
	if err := s.checkRequestLine(line); err != nil {
		return 0, err
	}
	return s.fieldsSize(b)
}

// RequestFields validates the fields of the head of a request that a server of fasthttp has read,
// through the empty line.
func RequestFields(h *fasthttp.RequestHeader) error {
	raw := h.RawHeaders()
	s := scanner{part: PartHead, rest: raw, lines: 1} // the request line
	if len(raw) == 0 {
		// RawHeaders does not tell how a head without fields ended. After one of HTTP/1.0 the
		// connection closes, so that what follows is not read.
		if h.IsHTTP11() {
			return s.fault(nil, "a request of HTTP/1.1 has a Host")
		}
		return nil
	}
	complete, err := s.checkFields()
	if err != nil {
		return err
	}
	if !complete || len(s.rest) > 0 {
		return ErrOtherEnd
	}
	return nil
}

// Trailer validates the complete lines of a trailer at the beginning of b, like Request.
func Trailer(b []byte) (size int, err error) {
	s := scanner{part: PartTrailer, rest: b}
	return s.fieldsSize(b)
}

package httphead

import "bytes"

// Head is what Response found out about a complete head.
type Head struct {
	Size    int // bytes, through the empty line that ends the head; 0 if it is not complete
	Status  int
	Chunked bool // the body is sent in chunks
}

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

// Response judges the complete lines of the head of a response at the beginning of b. It returns
// a *StatusError or *LineError for the first one that is malformed.
func Response(b []byte) (Head, error) {
	s := scanner{part: PartHead, rest: b}
	line, ok := s.firstLine()
	if !ok {
		return Head{}, nil
	}
	status, err := s.checkStatusLine(line)
	if err != nil {
		return Head{}, err
	}
	complete, err := s.checkFields()
	if err != nil || !complete {
		return Head{}, err
	}
	return Head{Size: len(b) - len(s.rest), Status: status, Chunked: s.coded}, nil
}

// Request judges the complete lines of the head of a request at the beginning of b. It returns
// the size of the head, through the empty line that ends it, or 0 if it is not complete, and a
// *LineError for the first line that is malformed.
func Request(b []byte) (size int, err error) {
	s := scanner{part: PartHead, rest: b}
	line, ok := s.firstLine()
	if !ok {
		return 0, nil
	}
	if err := s.checkRequestLine(line); err != nil {
		return 0, err
	}
	return s.fieldsSize(b)
}

// RequestFields judges the fields of the head of a request, as RequestHeader.RawHeaders of fasthttp
// returns them. It is for servers of fasthttp, which read heads themselves.
func RequestFields(raw []byte) error {
	s := scanner{part: PartHead, rest: raw, lines: 1} // the request line
	_, err := s.checkFields()
	return err
}

// Trailer judges the complete lines of a trailer at the beginning of b, like Request.
func Trailer(b []byte) (size int, err error) {
	s := scanner{part: PartTrailer, rest: b}
	return s.fieldsSize(b)
}

// fieldsSize checks the field lines that are left of b, and returns how much of b they end.
func (s *scanner) fieldsSize(b []byte) (int, error) {
	complete, err := s.checkFields()
	if err != nil || !complete {
		return 0, err
	}
	return len(b) - len(s.rest), nil
}

// scanner takes lines from the beginning of the bytes that were received.
type scanner struct {
	part  Part
	rest  []byte
	lines int  // taken so far
	old   bool // the version of the message is not HTTP/1.1
	coded bool // a Transfer-Encoding was seen
}

// next takes a line, and returns it without its end. It returns false if none is complete.
func (s *scanner) next() ([]byte, bool) {
	i := bytes.IndexByte(s.rest, '\n')
	if i < 0 {
		return nil, false
	}
	line := s.rest[:i]
	s.rest = s.rest[i+1:]
	s.lines++
	if i > 0 && line[i-1] == '\r' {
		line = line[:i-1]
	}
	return line, true
}

// firstLine takes the first line that is not empty.
func (s *scanner) firstLine() ([]byte, bool) {
	for {
		line, ok := s.next()
		if !ok || len(line) > 0 {
			return line, ok
		}
	}
}

// checkFields takes the lines through the empty one that ends them. It returns false if that has
// not arrived.
func (s *scanner) checkFields() (complete bool, err error) {
	for {
		line, ok := s.next()
		if !ok {
			return false, nil
		}
		if len(line) == 0 {
			return true, nil
		}
		if err := s.checkField(line); err != nil {
			return false, err
		}
	}
}

// fault returns the error for the line that was taken last.
func (s *scanner) fault(line []byte, fault string) error {
	if i := bytes.IndexByte(line, ':'); i > 0 {
		line = line[:i] // not the value, which may be confidential
	}
	return &LineError{Part: s.part, Line: s.lines, Name: shorten(line), Fault: fault}
}

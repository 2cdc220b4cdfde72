package httphead

import "bytes"

// scanner takes lines from the beginning of the bytes that were received.
type scanner struct {
	part       Part
	rest       []byte
	lines      int  // taken so far
	otherMinor bool // the version of the message is not HTTP/1.1
	hasCoding  bool // a Transfer-Encoding was seen
	hasLength  bool // a Content-Length was seen
}

// next takes a line, and returns it without its CRLF. It returns false if none is complete. LF alone
// is an error: the parser takes it for the end of a line in some places only.
func (s *scanner) next() (line []byte, ok bool, err error) {
	i := bytes.IndexByte(s.rest, '\n')
	if i < 0 {
		return nil, false, s.checkIncomplete()
	}
	line = s.rest[:i]
	s.rest = s.rest[i+1:]
	s.lines++
	if i == 0 || line[i-1] != '\r' {
		return nil, false, s.fault(line, "a line ends with CRLF, not with LF alone")
	}
	return line[:i-1], true, nil
}

// checkIncomplete checks what has arrived of a line, so that one with control characters is rejected
// although its end may never arrive.
func (s *scanner) checkIncomplete() error {
	if isText(bytes.TrimSuffix(s.rest, []byte("\r"))) {
		return nil
	}
	s.lines++
	return s.fault(s.rest, "a line has no control characters and ends with CRLF")
}

// firstLine takes the first line that is not empty.
func (s *scanner) firstLine() (line []byte, ok bool, err error) {
	for {
		if line, ok, err = s.next(); !ok || len(line) > 0 {
			return line, ok, err
		}
	}
}

// checkFields takes the lines through the empty one that ends them. It returns false if that has
// not arrived.
func (s *scanner) checkFields() (complete bool, err error) {
	for {
		line, ok, err := s.next()
		if !ok {
			return false, err
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

// fieldsSize checks the field lines that are left of b, and returns how much of b they end.
func (s *scanner) fieldsSize(b []byte) (int, error) {
	complete, err := s.checkFields()
	if err != nil || !complete {
		return 0, err
	}
	return len(b) - len(s.rest), nil
}

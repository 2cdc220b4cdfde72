package httphead

import "bytes"

// scanner takes lines from the beginning of the bytes that were received.
type scanner struct {
	part       Part
	rest       []byte
	lines      int  // taken so far
	otherMinor bool // the version of the message is not HTTP/1.1
	hasCoding  bool // a Transfer-Encoding was seen
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

// fieldsSize checks the field lines that are left of b, and returns how much of b they end.
func (s *scanner) fieldsSize(b []byte) (int, error) {
	complete, err := s.checkFields()
	if err != nil || !complete {
		return 0, err
	}
	return len(b) - len(s.rest), nil
}

package httphead

import "bytes"

// Scanner validates a head or trailer that may arrive in parts. It checks each byte once.
type Scanner struct {
	part       Part
	first      firstLine // that has not arrived
	taken      int       // bytes of complete lines
	begun      int       // bytes of the line behind them that were checked
	lines      int       // taken so far
	status     int       // of a response
	otherMinor bool      // the version of the message is not HTTP/1.1
	hasCoding  bool      // a Transfer-Encoding was seen
	hasLength  bool      // a Content-Length was seen
}

// firstLine is the line that a head begins with.
type firstLine int

const (
	noLine firstLine = iota
	statusLine
	requestLine
)

// NewResponseScanner returns a Scanner of the head of a response.
func NewResponseScanner() Scanner { return Scanner{part: PartHead, first: statusLine} }

// NewRequestScanner returns a Scanner of the head of a request.
func NewRequestScanner() Scanner { return Scanner{part: PartHead, first: requestLine} }

// NewTrailerScanner returns a Scanner of a trailer.
func NewTrailerScanner() Scanner { return Scanner{part: PartTrailer} }

// Scan validates b, which begins with the bytes of the call before. It returns the size of the head or
// trailer, through the empty line that ends it, or 0 if it is not complete, and a *StatusError or
// *LineError for the first line that is malformed. After that it is not called again.
func (s *Scanner) Scan(b []byte) (size int, err error) {
	for {
		line, ok, err := s.next(b)
		switch {
		case !ok:
			return 0, err
		case len(line) > 0:
			if err := s.checkLine(line); err != nil {
				return 0, err
			}
		case s.first == noLine:
			return s.taken, nil
		}
	}
}

// next takes a line, and returns it without its CRLF. It returns false if none is complete. LF alone
// is an error: the parser takes it for the end of a line in some places only.
func (s *Scanner) next(b []byte) (line []byte, ok bool, err error) {
	rest := b[s.taken:]
	i := bytes.IndexByte(rest[s.begun:], '\n')
	if i < 0 {
		return nil, false, s.checkIncomplete(rest)
	}
	line = rest[:s.begun+i]
	s.taken += len(line) + 1
	s.begun = 0
	s.lines++
	line, ok = bytes.CutSuffix(line, []byte{'\r'})
	if !ok {
		return nil, false, s.fault(line, "a line ends with CRLF, not with LF alone")
	}
	return line, true, nil
}

// checkIncomplete checks what has arrived of a line, so that one with control characters is rejected
// although its end may never arrive.
func (s *Scanner) checkIncomplete(line []byte) error {
	text := bytes.TrimSuffix(line, []byte{'\r'})
	if !isText(text[s.begun:]) {
		s.lines++
		return s.fault(line, "a line has no control characters and ends with CRLF")
	}
	s.begun = len(text)
	return nil
}

// checkLine checks a line that is not empty.
func (s *Scanner) checkLine(line []byte) (err error) {
	first := s.first
	s.first = noLine
	switch first {
	case statusLine:
		s.status, err = s.checkStatusLine(line)
		return err
	case requestLine:
		return s.checkRequestLine(line)
	}
	return s.checkField(line)
}

// fault returns the error for the line that was taken last.
func (s *Scanner) fault(line []byte, fault string) error {
	if i := bytes.IndexByte(line, ':'); i > 0 {
		line = line[:i] // not the value, which may be confidential
	}
	return &LineError{Part: s.part, Line: s.lines, Name: shorten(line), Fault: fault}
}

package target

import (
	"bufio"
	"bytes"
	"fmt"
)

// maxStatusShown is the largest number of bytes of a status in a StatusError.
const maxStatusShown = 16

// StatusError reports a response whose status is not a number from 100 to 599 of three digits.
type StatusError struct {
	Status string // as the target sent it, shortened
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("target: the response has the status %q, which can't be used; correct the target", e.Status)
}

// checkStatus checks the status of the response that is read next, without reading it. The
// parsed response does not tell 000 from 200. It returns nil if the status line is not
// complete: reading the header reports why.
func checkStatus(r *bufio.Reader) error {
	line := peekStatusLine(r)
	if line == nil {
		return nil
	}
	_, rest, _ := bytes.Cut(line, []byte(" "))
	status, _, _ := bytes.Cut(bytes.TrimLeft(rest, " "), []byte(" "))
	if !usableStatus(status) {
		return &StatusError{Status: string(status[:min(len(status), maxStatusShown)])}
	}
	return nil
}

func usableStatus(status []byte) bool {
	return len(status) == 3 && '1' <= status[0] && status[0] <= '5' && isDigit(status[1]) && isDigit(status[2])
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// peekStatusLine returns the first line that is not empty, without its end, or nil if no such
// line arrives that fits the buffer.
func peekStatusLine(r *bufio.Reader) []byte {
	for n := 1; ; n = r.Buffered() + 1 {
		if _, err := r.Peek(n); err != nil {
			return nil
		}
		b, _ := r.Peek(r.Buffered()) // never fails
		for {
			line, rest, complete := bytes.Cut(b, []byte("\n"))
			if !complete {
				break
			}
			if line = bytes.TrimSuffix(line, []byte("\r")); len(line) > 0 {
				return line
			}
			b = rest
		}
	}
}

package callerhttp

import (
	"bytes"

	"github.com/parsleystack/parsleystack/httphead"
)

const (
	// smallHead is the size in bytes of a head whose fields exchangeCost includes.
	smallHead = 512
	// fieldCost is the memory of a field of a larger one, with its copies in requests to other
	// daemons and to the target.
	fieldCost = 256
)

// awaitFields waits until a head or trailer has arrived completely or fills the buffer, and
// counts the memory of its fields: thousands of small ones take far more than their bytes, and
// the parser allocates that at once. It returns the size of the head or trailer, or 0 if it is not
// complete. An error of the connection is left to the parser.
func (c *conn) awaitFields(x *Exchange, trailer bool) (size int, err error) {
	scanner := httphead.NewRequestScanner()
	if trailer {
		scanner = httphead.NewTrailerScanner()
	}
	for {
		b, _ := c.br.Peek(c.br.Buffered()) // they are buffered
		if size, err = scanner.Scan(b); err != nil {
			return 0, err
		}
		if size == 0 && len(b) < c.br.Size() {
			if _, c.peeked = c.br.Peek(len(b) + 1); c.peeked == nil {
				continue
			}
			return 0, nil
		}
		if size > 0 {
			b = b[:size]
		}
		return size, c.countFields(x, bytes.Trim(b, "\r\n"), trailer)
	}
}

// countFields counts the memory of the fields in the lines of a head or trailer.
func (c *conn) countFields(x *Exchange, lines []byte, trailer bool) error {
	if len(lines) <= smallHead {
		return nil
	}
	cost := bytes.Count(lines, []byte{'\n'}) * fieldCost
	if trailer {
		cost += x.fields
	}
	x.fields = max(x.fields, cost)
	return c.count(x, cap(x.body))
}

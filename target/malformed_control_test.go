package target

import (
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/httphead"
)

// A control request that was answered with the status 000 counted as accepted, and a report with a
// blank in the name of a field as one of the target.
func TestMalformedAnswerToAControlRequestIsNoAnswer(t *testing.T) {
	t.Parallel()
	for _, answer := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 020 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nNa me: x\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 103 x\r\nNa me: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\n\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\nContent-Length: 2\n\n{}",
	} {
		c := New(Config{Addr: startScriptedServer(t, answer, answer, answer), ControlTimeout: 5 * time.Second})
		if err := c.Grant("reports", cell.Grant{}, time.Second); !httphead.Malformed(err) {
			t.Errorf("%q: a grant gives error %v, want one of a malformed response", answer, err)
		}
		if _, err := c.Health(); !httphead.Malformed(err) {
			t.Errorf("%q: a health check gives error %v, want one of a malformed response", answer, err)
		}
		c.Close()
	}
	const proper = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"ready\":true}"
	c := New(Config{Addr: startScriptedServer(t, proper, proper), ControlTimeout: 5 * time.Second})
	defer c.Close()
	for range 2 {
		if h, err := c.Health(); err != nil || !h.Ready {
			t.Errorf("%+v, error %v", h, err)
		}
	}
}

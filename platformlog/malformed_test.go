package platformlog

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"
)

// startAnswering starts a server that answers all requests with the same bytes. It returns its
// address.
func startAnswering(t *testing.T, answer string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }() // the client has closed it
				for r := bufio.NewReader(conn); ; {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_ = req.Body.Close()              // reads the rest of it
					_, _ = conn.Write([]byte(answer)) // a failed write shows in the answer
				}
			}()
		}
	}()
	return l.Addr().String()
}

// An append that was answered with the status 000 counted as done.
func TestAppendWithMalformedAnswerIsOfUnknownOutcome(t *testing.T) {
	t.Parallel()
	const body = "Content-Length: 12\r\n\r\n{\"offset\":1}"
	for answer, malformed := range map[string]bool{
		"HTTP/1.1 200 OK\r\n" + body:                false,
		"HTTP/1.1 000 OK\r\n" + body:                true,
		"HTTP/1.1 200 OK\r\nNa me: x\r\n" + body:    true,
		"HTTP/1.1 200 OK\r\nName : x\r\n" + body:    true,
		"HTTP/1.1 503 x\r\nNa me: x\r\n" + body:     true,
		"HTTP/1.1 100 x\r\nName : x\r\n\r\n" + body: true,
		"HTTP/1.1 200 OK\r\n\n" + body:              true,
		"HTTP/1.1 503 x\r\n\n" + body:               true,
		"HTTP/1.1 200 OK\r\nNa\nme: x\r\n" + body:   true,
		"HTTP/1.1 200 OK\n" + body:                  true,
	} {
		c := NewClient(ClientConfig{Addr: startAnswering(t, answer), AppendTimeout: 5 * time.Second})
		_, err := c.Append(t.Context(), "cell", []byte("a"))
		var unknown *UnknownOutcomeError
		if malformed != errors.As(err, &unknown) || !malformed && err != nil {
			t.Errorf("%q: error %v, want an unknown outcome: %t", answer, err, malformed)
		}
		c.Close()
	}
}

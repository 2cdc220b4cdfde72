package target

import (
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// startTruncatingServer starts a server that answers the nth connection's request with the
// first n bytes of a response, and closes the connection.
func startTruncatingServer(t *testing.T, whole string) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			buf := make([]byte, 4096)
			if _, err := c.Read(buf); err == nil {
				_, _ = c.Write([]byte(whole[:min(n, len(whole))])) // a failed write shows in the response that the test reads
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// A target that stopped in the middle of its response's head and closed the connection must
// not be taken for one that sent a whole response without a body, nor one that stopped in the
// middle of the body.
func TestResponseThatEndsEarlyIsNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAnswer-To: a\r\nSigned: s\r\nCache: x\r\n"
	for name, c := range map[string]struct {
		whole string
		least int // bytes after which the response is whole as far as can be known
	}{
		"length":                  {head + "Content-Length: 5\r\n\r\nwhole", -1},
		"length first":            {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nAnswer-To: a\r\nSigned: s\r\n\r\nwhole", -1},
		"no body":                 {head + "Content-Length: 0\r\n\r\n", -1},
		"chunks":                  {head + "Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n", -1},
		"end of connection":       {head + "Connection: close\r\n\r\nwhole", len(head) + len("Connection: close\r\n\r\n")},
		"interim response before": {"HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 5\r\n\r\nwhole", -1},
	} {
		least := c.least
		if least < 0 {
			least = len(c.whole)
		}
		client := New(Config{Addr: startTruncatingServer(t, c.whole), MaxConns: 1, AllowCloseDelimited: true})
		for n := range len(c.whole) + 1 {
			var req fasthttp.Request
			var resp fasthttp.Response
			req.Header.SetHost("h")
			req.SetRequestURI("/")
			sent, err := client.Do(&Call{Request: &req, Response: &resp, Deadline: time.Now().Add(5 * time.Second)})
			if !sent {
				t.Fatalf("%s: not sent: %v", name, err)
			}
			if whole := n >= least; whole != (err == nil) {
				t.Errorf("%s: after %d of %d bytes, %q: error %v, status %d, body %q", name, n, len(c.whole), c.whole[max(0, n-9):n], err, resp.StatusCode(), resp.Body())
			}
		}
		client.Close()
	}
}

// A head in which a second response begins, or that states two lengths or two requests, must
// not be taken for a response.
func TestHeadsOfTwoResponsesAreNotOne(t *testing.T) {
	for name, answer := range map[string]string{
		"second response in the head": "HTTP/1.1 200 OK\r\nAnswer-To: a\r\nHTTP/1.1 200 OK\r\nAnswer-To: b\r\nContent-Length: 1\r\n\r\nx",
		"two lengths":                 "HTTP/1.1 200 OK\r\nAnswer-To: a\r\nContent-Length: 3\r\nContent-Length: 1\r\n\r\nxyz",
		"negative length":             "HTTP/1.1 200 OK\r\nAnswer-To: a\r\nContent-Length: -1\r\n\r\nx",
		"length with a sign":          "HTTP/1.1 200 OK\r\nAnswer-To: a\r\nContent-Length: +1\r\n\r\nx",
		"length that overflows":       "HTTP/1.1 200 OK\r\nAnswer-To: a\r\nContent-Length: 18446744073709551617\r\n\r\nx",
		"length in a list":            "HTTP/1.1 200 OK\r\nAnswer-To: a\r\nContent-Length: 1, 3\r\n\r\nxyz",
	} {
		client := New(Config{Addr: startScriptedServer(t, answer+"Connection: close"), MaxConns: 1, AllowCloseDelimited: true})
		if body, err := fetch(client, "a"); err == nil {
			t.Errorf("%s: taken for a response with the body %q", name, body)
		}
		client.Close()
	}
}

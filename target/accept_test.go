package target

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// startScriptedServer starts a server that answers each request, on whichever
// connection, with the next text of answers. It returns its address.
func startScriptedServer(t *testing.T, answers ...string) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for next := 0; ; {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(c)
			for next < len(answers) {
				if _, err := http.ReadRequest(r); err != nil {
					break
				}
				_, _ = c.Write([]byte(answers[next])) // a failed write shows in the response that the test reads
				next++
				if strings.Contains(answers[next-1], "Connection: close") {
					break
				}
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nAnswer-To: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// fetch sends a request and returns the body of the response whose Answer-To field
// is id.
func fetch(c *Client, id string) (string, error) {
	var req fasthttp.Request
	var resp fasthttp.Response
	req.Header.SetHost("h")
	req.SetRequestURI("/")
	call := Call{Request: &req, Response: &resp, Deadline: time.Now().Add(5 * time.Second), Accept: func(r *fasthttp.Response) bool {
		return string(r.Header.Peek("Answer-To")) == id
	}}
	_, err := c.Do(&call)
	return string(resp.Body()), err
}

// TestLateResponseIsSkipped guards against returning a late response to an earlier
// request as the response to the next one. The server sends the late response
// first on the connection that both requests use.
func TestLateResponseIsSkipped(t *testing.T) {
	c := New(Config{Addr: startScriptedServer(t, response("a", "one"), response("a", "more")+response("b", "two")), MaxConns: 1})
	defer c.Close()
	for _, want := range [][2]string{{"a", "one"}, {"b", "two"}} {
		if got, err := fetch(c, want[0]); err != nil || got != want[1] {
			t.Errorf("request %s: got %q, %v", want[0], got, err)
		}
	}
}

// TestExtraBytesEndTheConnection guards against reusing a connection on which
// bytes follow a complete response. The next request must use a new connection.
func TestExtraBytesEndTheConnection(t *testing.T) {
	c := New(Config{Addr: startScriptedServer(t, response("a", "one")+"garbage", response("b", "two")), MaxConns: 1})
	defer c.Close()
	for _, want := range [][2]string{{"a", "one"}, {"b", "two"}} {
		if got, err := fetch(c, want[0]); err != nil || got != want[1] {
			t.Errorf("request %s: got %q, %v", want[0], got, err)
		}
	}
}

// TestCloseDelimitedResponses checks that a response whose body ends with the
// connection is accepted only if the client is configured for it, and that a
// response truncated before its Content-Length is never accepted.
func TestCloseDelimitedResponses(t *testing.T) {
	const closeDelimited = "HTTP/1.1 200 OK\r\nAnswer-To: a\r\nConnection: close\r\n\r\nwhole"
	const truncated = "HTTP/1.1 200 OK\r\nAnswer-To: a\r\nContent-Length: 9\r\nConnection: close\r\n\r\nwhole"
	for _, c := range []struct {
		text  string
		allow bool
		ok    bool
	}{{closeDelimited, true, true}, {closeDelimited, false, false}, {truncated, true, false}} {
		client := New(Config{Addr: startScriptedServer(t, c.text), MaxConns: 1, AllowCloseDelimited: c.allow})
		if got, err := fetch(client, "a"); (err == nil) != c.ok || c.ok && got != "whole" {
			t.Errorf("close-delimited responses allowed %v, %q: got %q, %v", c.allow, c.text, got, err)
		}
		client.Close()
	}
}

// TestKeepAliveOfTheTarget checks the parsing of the Keep-Alive field.
func TestKeepAliveOfTheTarget(t *testing.T) {
	for field, want := range map[string]time.Duration{"timeout=5": 5 * time.Second, "max=3, timeout=7": 7 * time.Second, "": 0, "timeout=x": 0} {
		if got, _ := keepAliveTimeout(field); got != want {
			t.Errorf("%q: %v, want %v", field, got, want)
		}
	}
}

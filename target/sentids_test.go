package target

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// fetchID is fetch with the ID by which the call is matched.
func fetchID(c *Client, id string) (string, error) {
	var req fasthttp.Request
	var resp fasthttp.Response
	req.Header.SetHost("h")
	req.SetRequestURI("/")
	req.Header.Set("Request", id)
	call := Call{Request: &req, Response: &resp, ID: []byte(id), Deadline: time.Now().Add(5 * time.Second), Accept: func(r *fasthttp.Response) bool {
		return string(r.Header.Peek("Answer-To")) == id
	}}
	_, err := c.Do(&call)
	return string(resp.Body()), err
}

// startCopyingServer starts a server that sends, before each response but the first one on
// a connection, copies of all earlier responses on it. The nth request gets the body n.
func startCopyingServer(t *testing.T) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var served atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r, sent := bufio.NewReader(c), ""
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					sent += response(req.Header.Get("Request"), fmt.Sprint(served.Add(1)))
					_, _ = c.Write([]byte(sent)) // a failed write shows in the response that the test reads
				}
			}()
		}
	}()
	return l.Addr().String()
}

// The second send of a request was answered by a late copy of the response to the first
// one: it counted as not run while the target ran it.
func TestLateCopyDoesNotAnswerTheNextSendOfARequest(t *testing.T) {
	c := New(Config{Addr: startCopyingServer(t), MaxConns: 2})
	defer c.Close()
	for i, id := range []string{"a", "b", "a", "c", "a", "b"} {
		if got, err := fetchID(c, id); err != nil || got != fmt.Sprint(i+1) {
			t.Errorf("send %d of request %s got the response to send %s, %v", i+1, id, got, err)
		}
	}
}

// A request that was sent on all idle connections gets another connection, within the
// limit; requests with other IDs share them.
func TestConnectionsArePickedByTheRequestsSentOnThem(t *testing.T) {
	var script []string
	for i := range 6 {
		script = append(script, response(fmt.Sprint(i), "x"))
	}
	c := New(Config{Addr: startScriptedServer(t, append(script, response("0", "x"), response("0", "x"))...), MaxConns: 2})
	defer c.Close()
	for i := range 6 {
		if _, err := fetchID(c, fmt.Sprint(i)); err != nil {
			t.Fatal(err)
		}
	}
	if open, _ := c.Conns(); open != 1 {
		t.Errorf("%d connections for requests one after the other, want 1", open)
	}
	used := c.pool.idle[0]
	for len(used.sent) < maxSentIDs {
		used.sent[uint64(len(used.sent))] = struct{}{}
	}
	c.releaseConn(c.pool.popUnsent(&Call{}), &Call{Request: &fasthttp.Request{}, Response: &fasthttp.Response{}}, nil)
	if open, _ := c.Conns(); open != 0 {
		t.Errorf("a connection on which %d requests were sent stays open", maxSentIDs)
	}
}

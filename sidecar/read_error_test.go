package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// A request that ends early, since its connection broke, was called malformed (400), and
// the answer and the log had the bytes of the request in them.
func TestRequestCutShortIsNotMalformed(t *testing.T) {
	t.Parallel()
	d := deploy(t, plainService)
	n := d.nodes[0]
	n.awaitUnkeyedServing(t)
	for name, request := range map[string]string{
		"body":   head("POST", "/book/a", "Content-Length: 100\r\n") + "secret",
		"chunk":  head("POST", "/book/a", "Transfer-Encoding: chunked\r\n") + "6\r\nsec",
		"size":   head("POST", "/book/a", "Transfer-Encoding: chunked\r\n") + "6",
		"header": "POST /book/a HTTP/1.1\r\nHost: " + host + "\r\nX: secret",
	} {
		status, body := n.cutCall(t, request)
		if status != http.StatusServiceUnavailable || strings.Contains(body, "secret") {
			t.Errorf("cut in the %s: status %d with body %q, want 503", name, status, body)
		}
	}
	if status, body := n.cutCall(t, "POST secret\r\n\r\n"); status != http.StatusBadRequest || strings.Contains(body, "secret") {
		t.Errorf("no request: status %d with body %q, want 400", status, body)
	}
}

// A request that could not be read must be refused by its id if its head was read, with the time
// of a retry like every refusal.
func TestRefusalOfAnIncompleteRequestNamesIt(t *testing.T) {
	t.Parallel()
	d := deploy(t, plainService)
	n := d.nodes[0]
	n.awaitUnkeyedServing(t)
	id := newID()
	c, err := net.Dial("tcp", n.settings.CallerAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }() // the response was read
	if _, err := io.WriteString(c, platformtest.Head(host, http.MethodPost, "/book/a", id, "Content-Length: 100\r\n")+"part"); err != nil {
		t.Fatal(err)
	}
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close() // it is not read
	if resp.Header.Get("Retry-After") == "" {
		t.Error("the response names no time for a retry")
	}
	if got := resp.Header.Get("Request-Id"); resp.StatusCode != http.StatusServiceUnavailable || got != id {
		t.Errorf("status %d for request %q, want 503 for %q", resp.StatusCode, got, id)
	}
}

// cutCall sends bytes, closes the sending direction and returns the response.
func (n *testNode) cutCall(t *testing.T, request string) (status int, body string) {
	t.Helper()
	status, body, err := platformtest.CutCall(n.settings.CallerAddr, request)
	if err != nil {
		t.Fatal(err)
	}
	return status, body
}

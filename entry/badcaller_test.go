package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// sendRaw sends bytes unchanged and returns the status of each response and
// whether the connection was closed after the last.
func (d *entryDaemon) sendRaw(t testing.TB, request string) (statuses []int, closed bool) {
	t.Helper()
	conn, err := net.Dial("tcp", d.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte(request)); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(250 * time.Millisecond))
	reader := bufio.NewReader(conn)
	for {
		var resp fasthttp.Response
		if err := resp.Read(reader); err != nil {
			netErr, ok := err.(net.Error)
			return statuses, !ok || !netErr.Timeout()
		}
		statuses = append(statuses, resp.StatusCode())
	}
}

// TestSmugglingShapesAreRefused guards against request smuggling: a request
// whose body length is ambiguous must not reach the target, and the connection
// must be closed so that its rest is not read as a second request.
func TestSmugglingShapesAreRefused(t *testing.T) {
	r := newFixture(t)
	smuggled := "POST /reports/smuggled HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
	for name, head := range map[string]string{
		"length and chunks":        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
		"chunks and length":        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
		"two lengths":              "Content-Length: 4\r\nContent-Length: 0\r\n",
		"listed lengths":           "Content-Length: 4, 0\r\n",
		"signed length":            "Content-Length: +4\r\n",
		"unknown coding":           "Transfer-Encoding: xchunked\r\n",
		"two codings":              "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
		"space before colon":       "Transfer-Encoding : chunked\r\n",
		"folded field":             "X-A: b\r\n Transfer-Encoding: chunked\r\n",
		"field without a name":     ": x\r\n",
		"blank in a name":          "X A: b\r\n",
		"blank in the length":      "Content -Length: 4\r\n",
		"blank in the coding":      "Transfer -Encoding: chunked\r\n",
		"carriage return in value": "X-A: b\rTransfer-Encoding: chunked\r\n",
		"null in value":            "X-A: b\x00c\r\n",
		"line feed before a name":  "\nTransfer-Encoding: chunked\r\n",
		"line feed in a name":      "Transfer\n-Encoding: chunked\r\n",
		"line feed at the end":     "Transfer-Encoding: chunked\n",
		"line feed in the end":     "Transfer-Encoding: chunked\r\n\n",
	} {
		request := "POST /reports/shape HTTP/1.1\r\nHost: x\r\n" + head + "\r\n0\r\n\r\n" + smuggled
		statuses, closed := r.entry.sendRaw(t, request)
		if len(statuses) == 0 || statuses[0] < 400 || statuses[0] >= 500 || !closed {
			t.Errorf("%s: statuses %v, closed %v", name, statuses, closed)
		}
	}
	// A head without fields may have ended with LF alone. Nothing behind it is read.
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		statuses, closed := r.entry.sendRaw(t, "GET /reports/k "+version+"\r\n\nConnection: keep-alive\r\n\r\n"+smuggled)
		if len(statuses) > 1 || !closed {
			t.Errorf("%s without fields: statuses %v, closed %v", version, statuses, closed)
		}
	}
	if n := r.target.runCount("POST /smuggled") + r.target.runCount("POST /shape"); n != 0 {
		t.Errorf("%d ambiguous requests reached the target", n)
	}
}

func TestBadCallers(t *testing.T) {
	r := newFixture(t)
	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"large header":   {"GET /reports/k HTTP/1.1\r\nHost: x\r\nX-A: " + strings.Repeat("a", 20<<10) + "\r\n\r\n", 431},
		"many fields":    {"GET /reports/k HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("X-A: b\r\n", 200) + "\r\n", 431},
		"large body":     {"POST /reports/k HTTP/1.1\r\nHost: x\r\nContent-Length: 999999999\r\n\r\n", 413},
		"trace":          {"TRACE /reports/k HTTP/1.1\r\nHost: x\r\n\r\n", 400},
		"connect":        {"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n", 400},
		"absolute form":  {"GET http://x/reports/k HTTP/1.1\r\nHost: x\r\n\r\n", 400},
		"dot segment":    {"GET /reports/../other/k HTTP/1.1\r\nHost: x\r\n\r\n", 400},
		"escaped dots":   {"GET /reports/%2e%2e/k HTTP/1.1\r\nHost: x\r\n\r\n", 400},
		"backslash":      {"GET /reports\\k HTTP/1.1\r\nHost: x\r\n\r\n", 400},
		"fragment":       {"GET /reports/k#x HTTP/1.1\r\nHost: x\r\n\r\n", 400},
		"high byte":      {"GET /reports/\xff HTTP/1.1\r\nHost: x\r\n\r\n", 400},
		"two keys":       {"GET /reports/k HTTP/1.1\r\nHost: x\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n", 400},
		"no service":     {"GET / HTTP/1.1\r\nHost: x\r\n\r\n", 404},
		"not HTTP":       {"hello\r\n\r\n", 400},
		"any key bytes":  {"GET /reports/%00%ff%2F%0d%0a HTTP/1.1\r\nHost: x\r\n\r\n", 200},
		"HTTP/1.0":       {"GET /reports/k HTTP/1.0\r\n\r\n", 200},
		"absent body":    {"GET /reports/k HTTP/1.1\r\nHost: x\r\n\r\n", 200},
		"chunked body":   {"POST /reports/k HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", 200},
		"expect":         {"POST /reports/k HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\na", 200},
		"broken chunk":   {"POST /reports/k HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		"unknown method": {"BREW /reports/k HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", 200},
	} {
		statuses, _ := r.entry.sendRaw(t, c.request)
		if len(statuses) == 0 || statuses[0] != c.status {
			t.Errorf("%s: statuses %v, want %d", name, statuses, c.status)
		}
	}
	r.entry.send(t, "GET", "/reports/k", nil).want(t, 200, "done", "")
}

// TestInternalHeadersAreStripped checks that callers cannot send internal headers
// to the target, nor targets return them to callers.
func TestInternalHeadersAreStripped(t *testing.T) {
	r := newFixture(t)
	r.target.setRun(func(ctx *fasthttp.RequestCtx) {
		h := &ctx.Request.Header
		fmt.Fprintf(ctx, "%s|%s|%s|%s", h.Peek("Parsley-Token"), h.Peek("Parsley-Evil"), h.Peek("X-Hop"), h.Peek("X-Kept"))
		ctx.Response.Header.Set("Parsley-Outcome", "unknown")
		ctx.Response.Header.Set("Parsley-Token", "secret")
	})
	got := r.entry.send(t, "GET", "/reports/k", map[string]string{
		"Parsley-Token": "9.9", "Parsley-Evil": "x", "Connection": "X-Hop", "X-Hop": "x", "X-Kept": "kept",
	})
	got.want(t, 200, "done", "")
	if got.body != "1.1|||kept" || got.header("Parsley-Token") != "" {
		t.Errorf("target received %q, caller received token %q", got.body, got.header("Parsley-Token"))
	}
}

// TestSlowCallerBlocksNobody keeps 50 requests half sent while others run, and
// checks that no half request reaches the target.
func TestSlowCallerBlocksNobody(t *testing.T) {
	r := newFixture(t)
	for range 50 {
		conn, err := net.Dial("tcp", r.entry.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Write([]byte("POST /reports/slow HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\npart"))
	}
	for range 20 {
		r.entry.send(t, "POST", "/reports/k", nil).want(t, 200, "done", "")
	}
	if n := r.target.runCount("POST /slow"); n != 0 {
		t.Errorf("%d incomplete requests reached the target", n)
	}
}

// A request whose connection ends before it is complete was called malformed (400), which
// tells its caller not to send it again.
func TestRequestCutShortIsNotMalformed(t *testing.T) {
	r := newFixture(t)
	head := "POST /reports/k HTTP/1.1\r\nHost: x\r\n"
	for name, request := range map[string]string{
		"header": head, "body": head + "Content-Length: 9\r\n\r\nab", "chunk": head + "Transfer-Encoding: chunked\r\n\r\n9\r\nab", "size": head + "Transfer-Encoding: chunked\r\n\r\n9",
	} {
		conn, err := net.Dial("tcp", r.entry.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		if _, err := conn.Write([]byte(request)); err != nil {
			t.Fatal(err)
		}
		if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		var resp fasthttp.Response
		if err := resp.Read(bufio.NewReader(conn)); err != nil || resp.StatusCode() != 503 || string(resp.Header.Peek("Parsley-Reason")) != "connection-lost" {
			t.Errorf("cut in the %s: status %d, %v, want 503", name, resp.StatusCode(), err)
		}
	}
}

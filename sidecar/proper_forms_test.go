package sidecar

import (
	"fmt"
	"strings"
	"testing"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// All forms that HTTP/1.1 allows for a request within the limits must be served, not
// rejected by the parser.
func TestProperFormsAreServed(t *testing.T) {
	t.Parallel()
	d := deploy(t, plainService)
	n := d.nodes[0]
	n.awaitUnkeyedServing(t)
	for name, form := range map[string]struct{ method, target, lines, body string }{
		"chunks":                {"POST", "/book/a", "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"},
		"chunk extension":       {"POST", "/book/a", "Transfer-Encoding: chunked\r\n", "3;a=b\r\nabc\r\n0\r\n\r\n"},
		"trailer":               {"POST", "/book/a", "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n", "3\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n"},
		"unannounced trailer":   {"POST", "/book/a", "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n"},
		"empty chunks":          {"PUT", "/book/a", "Transfer-Encoding: chunked\r\n", "0\r\n\r\n"},
		"coding in upper case":  {"PUT", "/book/a", "TRANSFER-ENCODING: Chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"},
		"body of a GET":         {"GET", "/book/a", "Content-Length: 3\r\n", "abc"},
		"chunks of a GET":       {"GET", "/book/a", "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"},
		"expect":                {"POST", "/book/a", "Expect: 100-continue\r\nContent-Length: 3\r\n", "abc"},
		"length 0":              {"POST", "/book/a", "Content-Length: 0\r\n", ""},
		"no length":             {"POST", "/book/a", "", ""},
		"body of a DELETE":      {"DELETE", "/book/a", "Content-Length: 3\r\n", "abc"},
		"PATCH":                 {"PATCH", "/book/a", "Content-Length: 3\r\n", "abc"},
		"own method":            {"PURGE", "/book/a", "", ""},
		"OPTIONS":               {"OPTIONS", "/book/a", "", ""},
		"connection options":    {"GET", "/book/a", "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\n", ""},
		"close":                 {"GET", "/book/a", "connection: close\r\n", ""},
		"UTF-8 in a value":      {"GET", "/book/a", "X-Name: M\u00fcnchen\r\n", ""},
		"empty value":           {"GET", "/book/a", "X-Empty:\r\n", ""},
		"tab in a value":        {"GET", "/book/a", "X-Tab:\ta\tb\t\r\n", ""},
		"repeated field":        {"GET", "/book/a", "Accept: a\r\nAccept: b\r\nCookie: a=b\r\nCookie: c=d\r\n", ""},
		"content type twice":    {"POST", "/book/a", "Content-Type: a/b\r\nContent-Type: a/b\r\nContent-Length: 3\r\n", "abc"},
		"form":                  {"POST", "/book/a", "Content-Type: multipart/form-data; boundary=x\r\nContent-Length: 3\r\n", "abc"},
		"many fields":           {"GET", "/book/a", strings.Repeat("X-Field: 0123456789\r\n", 600), ""},
		"long value":            {"GET", "/book/a", "X: " + strings.Repeat("x", 16000) + "\r\n", ""},
		"long target":           {"GET", "/book/" + strings.Repeat("x", 8000), "", ""},
		"largest body":          {"POST", "/book/a", "Content-Length: 1048576\r\n", strings.Repeat("x", 1<<20)},
		"double slash":          {"GET", "/book//a//", "", ""},
		"dot segments":          {"GET", "/book/../book/./a", "", ""},
		"encoded slash":         {"GET", "/book/%2F%2e%2E/a", "", ""},
		"lone percent":          {"GET", "/book/100%", "", ""},
		"characters of the URI": {"GET", "/book/a;b=c,d|e^f`{g}\"<h>?x=[1]&y=a%20b#f", "", ""},
		"bytes above ASCII":     {"GET", "/book/M\u00fcnchen?q=\u00fc", "", ""},
		"colon in the path":     {"GET", "/book/a:b@c", "", ""},
	} {
		id := newID()
		request := platformtest.Head(host, form.method, form.target, id, form.lines) + form.body
		status, err := n.tryRaw(request)
		runs := d.records.ByRequest(id)
		if err != nil || status != 200 || len(runs) != 1 || runs[0].URI != form.target || runs[0].Method != form.method {
			t.Errorf("%s: status %d, %v, runs %.200s", name, status, err, fmt.Sprint(runs))
		}
	}
}

func (n *testNode) tryRaw(request string) (int, error) {
	status, _, err := platformtest.RawCall(n.settings.CallerAddr, request)
	return status, err
}

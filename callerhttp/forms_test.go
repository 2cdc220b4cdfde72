package callerhttp

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// echo writes what a request consists of.
func echo(ctx *fasthttp.RequestCtx) {
	h := &ctx.Request.Header
	fmt.Fprintf(ctx, "%s %s host=%s length=%d body=%q", h.Method(), h.RequestURI(), h.Host(), h.ContentLength(), ctx.Request.Body())
	for name, value := range h.All() {
		fmt.Fprintf(ctx, " %s=%q", name, value)
	}
	ctx.SetStatusCode(fasthttp.StatusOK)
}

// forms are requests in all forms that the server must read as fasthttp.Server does.
var forms = map[string]string{
	"get":                      "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
	"two":                      get("/a", "/b"),
	"head":                     "HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n",
	"HTTP/1.0":                 "GET /a HTTP/1.0\r\n\r\n" + get("/b"),
	"HTTP/1.0 kept":            "GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n" + get("/b"),
	"HTTP/1.0 chunked":         "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"close":                    "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/b"),
	"close in a list":          "GET /a HTTP/1.1\r\nHost: h\r\nConnection: x, close\r\n\r\n" + get("/b"),
	"lower case":               "get /a HTTP/1.1\r\nhost: h\r\nx-own-NAME: v\r\n\r\n",
	"empty lines first":        "\r\n\r\n" + get("/a"),
	"no host":                  "GET /a HTTP/1.1\r\n\r\n",
	"two hosts":                "GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
	"userinfo":                 "GET /a HTTP/1.1\r\nHost: u@h\r\n\r\n",
	"absolute":                 "GET http://Other:80/a?b HTTP/1.1\r\nHost: h\r\n\r\n",
	"absolute without path":    "GET http://other HTTP/1.1\r\nHost: h\r\n\r\n",
	"absolute, query":          "GET http://other?a HTTP/1.1\r\nHost: h\r\n\r\n",
	"absolute, userinfo":       "GET http://u@other/ HTTP/1.1\r\nHost: h\r\n\r\n",
	"absolute, no authority":   "GET http:///a HTTP/1.1\r\nHost: h\r\n\r\n",
	"absolute, HTTP/1.0":       "GET http://other/a HTTP/1.0\r\n\r\n",
	"network path":             "GET //other/a HTTP/1.1\r\nHost: h\r\n\r\n",
	"network path, HTTP/1.0":   "GET //u@other/a HTTP/1.0\r\n\r\n",
	"asterisk":                 "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
	"connect":                  "CONNECT other:80 HTTP/1.1\r\nHost: h\r\n\r\n",
	"connect, userinfo":        "CONNECT u@other:80 HTTP/1.1\r\nHost: h\r\n\r\n",
	"invalid host":             "GET /a HTTP/1.1\r\nHost: a b\r\n\r\n",
	"lone percent":             "GET /a%zz HTTP/1.1\r\nHost: h%zz\r\n\r\n",
	"body":                     "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + get("/b"),
	"no body":                  "POST /a HTTP/1.1\r\nHost: h\r\n\r\n" + get("/b"),
	"empty body":               "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n" + get("/b"),
	"body of a get":            "GET /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + get("/b"),
	"two lengths":              "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
	"negative length":          "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -3\r\n\r\nabc",
	"length in words":          "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: three\r\n\r\nabc",
	"length and chunks":        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" + get("/b"),
	"chunks":                   chunked("3\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n") + get("/b"),
	"chunks of one byte":       chunked(strings.Repeat("1\r\nx\r\n", 5000)+"0\r\n\r\n") + get("/b"),
	"no chunks":                chunked("0\r\n\r\n") + get("/b"),
	"upper-case size":          chunked("A\r\n0123456789\r\n0\r\n\r\n"),
	"leading zeros":            chunked("00000003\r\nabc\r\n000\r\n\r\n"),
	"extension":                chunked("3;a=b\r\nabc\r\n0;c\r\n\r\n"),
	"space behind the size":    chunked("3 \r\nabc\r\n0\r\n\r\n"),
	"space and extension":      chunked("3 ;a\r\nabc\r\n0\r\n\r\n"),
	"many extensions":          chunked(strings.Repeat("1;"+strings.Repeat("x", 100)+"\r\nx\r\n", 300) + "0\r\n\r\n"),
	"long extension":           chunked("1;" + strings.Repeat("x", 20<<10) + "\r\nx\r\n0\r\n\r\n"),
	"LF behind the size":       chunked("3\nabc\r\n0\r\n\r\n"),
	"CR behind the size":       chunked("3\rxabc\r\n0\r\n\r\n"),
	"no size":                  chunked("\r\nabc\r\n0\r\n\r\n"),
	"size in words":            chunked("xyz\r\nabc\r\n0\r\n\r\n"),
	"size with a prefix":       chunked("0x3\r\nabc\r\n0\r\n\r\n"),
	"huge size":                chunked("fffffffffffffffff\r\nabc\r\n0\r\n\r\n"),
	"long chunk":               chunked("2\r\nabc\r\n0\r\n\r\n"),
	"trailer":                  chunked("3\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n") + get("/b"),
	"long trailer":             chunked("3\r\nabc\r\n0\r\nX-Sum: "+strings.Repeat("x", 10<<10)+"\r\n\r\n") + get("/b"),
	"trailer over the limit":   chunked("3\r\nabc\r\n0\r\nX-Sum: " + strings.Repeat("x", 40<<10) + "\r\n\r\n"),
	"malformed trailer":        chunked("3\r\nabc\r\n0\r\nX Sum\r\n\r\n"),
	"other coding":             "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n",
	"large head":               "GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 30<<10) + "\r\n\r\n" + get("/b"),
	"head over the limit":      "GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 33<<10) + "\r\n\r\n",
	"large head, large body":   "POST /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20<<10) + "\r\nContent-Length: 50000\r\n\r\n" + strings.Repeat("b", 50000) + get("/b"),
	"body at the limit":        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1048576\r\n\r\n" + strings.Repeat("b", 1<<20) + get("/b"),
	"chunks at the limit":      chunked("100000\r\n"+strings.Repeat("b", 1<<20)+"\r\n0\r\n\r\n") + get("/b"),
	"malformed line":           "GET /a\r\n\r\n",
	"malformed field":          "GET /a HTTP/1.1\r\nHost: h\r\nno colon\r\n\r\n",
	"space before the colon":   "GET /a HTTP/1.1\r\nHost: h\r\nX : y\r\n\r\n",
	"malformed behind another": get("/a") + "GET /a\r\n\r\n",
	"expect":                   "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc" + get("/b"),
	"expect behind another":    get("/a") + "POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
	"expect, HTTP/1.0":         "POST /a HTTP/1.0\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
	"lines behind the last":    get("/a") + "\r\n",
}

func chunked(body string) string {
	return "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + body
}

// Each form of a request must be read, answered and kept open or closed as fasthttp.Server does.
func TestFormsAreReadAsByFasthttp(t *testing.T) {
	t.Parallel()
	h := newFakeHandler()
	h.instant, h.respond = true, func(x *Exchange) { echo(&x.Ctx) }
	_, addr := start(t, testConfig(), h)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	reference := &fasthttp.Server{
		Handler: echo, ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) { ctx.Error("", errorStatus(err)) },
		ReadBufferSize: 32 << 10, MaxRequestBodySize: 1 << 20, DisablePreParseMultipartForm: true,
		DisableHeaderNamesNormalizing: true, NoDefaultContentType: true, NoDefaultServerHeader: true, Logger: discardLogger{},
	}
	go func() { _ = reference.Serve(l) }() // until the listener is closed
	t.Cleanup(func() { _ = l.Close() })
	for name, request := range forms {
		want := exchange(t, l.Addr().String(), request)
		if got := exchange(t, addr, request); got != want {
			t.Errorf("%s: got  %.600s\nwant %.600s", name, got, want)
		}
		if got := exchangeInPieces(t, addr, request); got != want {
			t.Errorf("%s, in pieces: got  %.600s\nwant %.600s", name, got, want)
		}
	}
}

// exchange sends bytes and returns all responses with the fields that the server sets.
func exchange(t *testing.T, addr, request string) string {
	t.Helper()
	c := dial(t, addr)
	c.send(request)
	return c.readAll()
}

// exchangeInPieces sends the first bytes one by one.
func exchangeInPieces(t *testing.T, addr, request string) string {
	t.Helper()
	c := dial(t, addr)
	if err := c.Conn.(*net.TCPConn).SetNoDelay(true); err != nil {
		t.Fatal(err)
	}
	n := min(len(request), 120)
	for i := range n {
		if _, err := c.Write([]byte(request[i : i+1])); err != nil {
			break // the server has closed the connection
		}
	}
	_, _ = io.WriteString(c.Conn, request[n:]) // the same
	return c.readAll()
}

// readAll reads responses until one closes the connection, or a last request is answered that
// asks for it.
func (c *client) readAll() string {
	var all strings.Builder
	// An error means that the server has closed the connection.
	_, _ = io.WriteString(c.Conn, "GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
	for {
		resp, err := http.ReadResponse(c.r, nil)
		if err != nil {
			return all.String() + "end"
		}
		if resp.StatusCode == http.StatusContinue {
			all.WriteString("100\n")
			continue
		}
		b, err := io.ReadAll(resp.Body)
		fmt.Fprintf(&all, "%s %d close=%v length=%d type=%q server=%q date=%v connection=%q %s\n", resp.Proto, resp.StatusCode, resp.Close, resp.ContentLength,
			resp.Header["Content-Type"], resp.Header["Server"], len(resp.Header["Date"]), resp.Header["Connection"], b)
		if err != nil || resp.Close {
			return all.String()
		}
	}
}

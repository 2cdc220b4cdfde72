package target

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/httphead"
)

// malformedLines can't be in the head of a response. The parser accepts those with blanks.
var malformedLines = []string{
	"Na me: x", "Name : x", " Name: x", "\tName: x", "Na\tme: x", "Na\x00me: x", "Na\x01me: x", "Na\x7fme: x", "Na\xe4me: x", "(Name): x", ": x", "Name",
	"Content-Length : 2", "Content -Length: 2", " Content-Length: 2", "Transfer-Encoding : chunked", "Answer-To : a", "Name: \x00", "Name: a\rb",
}

// malformedResponses are responses with such a line, and with malformed first lines, in all places
// that the client reads.
func malformedResponses() []string {
	const proper = "HTTP/1.1 200 OK\r\nAnswer-To: a\r\nContent-Length: 5\r\n\r\nwhole"
	var all []string
	for _, line := range malformedLines {
		all = append(all,
			"HTTP/1.1 200 OK\r\nAnswer-To: a\r\n"+line+"\r\nContent-Length: 5\r\n\r\nwhole",
			"HTTP/1.1 200 OK\r\nAnswer-To: a\r\nContent-Length: 5\r\n"+line+"\r\n\r\nwhole",
			"HTTP/1.1 200 OK\r\nAnswer-To: a\r\n"+line+"\r\n\r\nwhole",
			"HTTP/1.1 200 OK\r\nAnswer-To: a\r\n"+line+"\nContent-Length: 5\r\n\r\nwhole",
			"HTTP/1.1 200 OK\r\nAnswer-To: a\r\n"+strings.Replace(line, ":", "\n:", 1)+"\r\nContent-Length: 5\r\n\r\nwhole",
			"HTTP/1.1 204 No Content\r\nAnswer-To: a\r\n"+line+"\r\n\r\n",
			"HTTP/1.1 304 Not Modified\r\nAnswer-To: a\r\n"+line+"\r\n\r\n",
			"HTTP/1.1 503 x\r\nAnswer-To: a\r\nRetry-After: 1\r\n"+line+"\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 103 x\r\nLink: a\r\n"+line+"\r\n\r\n"+proper,
			"HTTP/1.1 200 OK\r\nAnswer-To: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-Sum: 1\r\n"+line+"\r\n\r\n",
		)
	}
	for _, first := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 000", "HTTP/1.1 020 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 OK", "HTTP/1.1 -12 OK",
		"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "HTTP/1.10 200 OK", "http/1.1 200 OK", "HTTP/1.1\t200 OK", " HTTP/1.1 200 OK", "ICY 200 OK", "200 OK", "HTTP/1.1 200 O\x00K",
	} {
		all = append(all,
			strings.Replace(proper, "HTTP/1.1 200 OK", first, 1),
			"\r\n\r\n"+strings.Replace(proper, "HTTP/1.1 200 OK", first, 1),
			"HTTP/1.1 100 Continue\r\n\r\n"+strings.Replace(proper, "HTTP/1.1 200 OK", first, 1),
			strings.ReplaceAll(strings.Replace(proper, "HTTP/1.1 200 OK", first, 1), "\r\n", "\n"),
		)
	}
	all = append(all, responsesWithLineFeeds()...)
	return append(all, "HTTP/1.0 200 OK\r\nAnswer-To: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n")
}

// responsesWithLineFeeds are responses with a line that ends with LF alone. Some are empty: a reader
// that takes it for the end of the head takes the rest for the body.
func responsesWithLineFeeds() []string {
	const head, chunked = "HTTP/1.1 200 OK\r\nAnswer-To: a\r\n", "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"
	return []string{
		head + "\nContent-Length: 2\r\n\r\nok", head + "\nontent-Length: 2\r\n\r\nok", head + "\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", head + "\nName: x\r\n\r\n", head + "Name\n: x\r\n\r\n",
		head + "Content-Length: 2\r\n\nName: x\r\n\r\nxx", head + "Content-Length: 5\n\r\nwhole", head + "Content-Length: 5\r\n\nwhole", head + "\nwhole\r\n\r\n",
		strings.ReplaceAll(head, "\r\n", "\n") + "Content-Length: 5\n\nwhole", strings.ReplaceAll(head, "\r\n", "\n") + "\nwhole\r\n\r\n", "HTTP/1.1 200 OK\nContent-Length: 5\n\r\nwhole\r\n\r\n",
		"\n" + head + "\r\nwhole", "\r\n\n" + head + "\r\nwhole",
		"HTTP/1.1 103 x\r\n\nLink: a\r\n\r\n" + head + "\r\nwhole", "HTTP/1.1 103 x\r\nLink: a\r\n\n" + head + "\r\nwhole", "HTTP/1.1 100 x\n\r\n" + head + "\r\nwhole",
		"HTTP/1.1 204 x\r\n\nAnswer-To: a\r\n\r\n", "HTTP/1.1 304 x\r\nAnswer-To: a\r\n\n", "HTTP/1.1 503 x\r\n\nRetry-After: 1\r\n\r\n",
		head + chunked + "\nX-Sum: 1\r\n\r\n", head + chunked + "X-Sum: 1\r\n\n\r\n", head + chunked + "X-Sum: 1\n\r\n", head + chunked + "\n",
	}
}

// scriptedConn is a connection on which given bytes arrive.
type scriptedConn struct {
	net.Conn
	r io.Reader
}

func (c scriptedConn) Read(p []byte) (int, error) { return c.r.Read(p) }

// read reads a response that arrives from r.
func read(t *testing.T, method string, r io.Reader) (*fasthttp.Response, error) {
	t.Helper()
	c, err := newConn(scriptedConn{r: r})
	if err != nil {
		t.Fatal(err)
	}
	call := &Call{Request: new(fasthttp.Request), Response: new(fasthttp.Response)}
	call.Request.Header.SetMethod(method)
	client := New(Config{AllowCloseDelimited: true, MaxBody: 1 << 20})
	call.held = client.cfg.Memory.Open(client.cfg.Source, nil)
	err = client.readResponse(c, call)
	return call.Response, err
}

// split reads the first n bytes at once, then the rest.
func split(text string, n int) io.Reader {
	return io.MultiReader(strings.NewReader(text[:n]), strings.NewReader(text[n:]))
}

// A malformed response must not be taken for one, wherever it is split when it arrives.
func TestMalformedResponseIsNotAResponse(t *testing.T) {
	t.Parallel()
	for _, text := range malformedResponses() {
		for n := range len(text) {
			if resp, err := read(t, http.MethodPost, split(text, n)); !httphead.Malformed(err) {
				t.Errorf("%q after %d bytes: status %d, body %q, error %v; want one of a malformed response", text, n, resp.StatusCode(), resp.Body(), err)
				break
			}
		}
		if _, err := read(t, http.MethodHead, iotest.OneByteReader(strings.NewReader(text))); !httphead.Malformed(err) && !strings.Contains(text, "chunked\r\n\r\n") {
			t.Errorf("%q to HEAD: error %v; want one of a malformed response", text, err)
		}
	}
}

// A response whose fields are unusual but proper is delivered.
func TestUnusualResponseIsDelivered(t *testing.T) {
	t.Parallel()
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1  200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"\r\nHTTP/1.1 200 OK\r\nContent-Length:5\r\n\r\nwhole",
		"HTTP/1.0 299 g\xfcltig\r\ncontent-length: \t5\t \r\n!#$%&'*+-.^_`|~09az: \"a b\"\t\xe4:;\r\nEmpty:\r\n\r\nwhole",
		"HTTP/1.1 599 x\r\n\r\nwhole",
		"HTTP/1.1 103 x\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\nX-Sum: 1\r\n\r\n",
	} {
		for n := range len(text) {
			if resp, err := read(t, http.MethodPost, split(text, n)); err != nil || string(resp.Body()) != "whole" {
				t.Errorf("%q after %d bytes: body %q, error %v", text, n, resp.Body(), err)
				break
			}
		}
	}
}

// A head that does not fit the buffer is an error of its own, and its lines are validated first.
func TestLargeHeadIsNotAResponse(t *testing.T) {
	t.Parallel()
	const start, end = "HTTP/1.1 200 OK\r\n", "Content-Length: 0\r\n\r\n"
	var size *httphead.SizeError
	if _, err := read(t, http.MethodGet, strings.NewReader(start+"A: "+strings.Repeat("x", connBufferSize)+"\r\n"+end)); !errors.As(err, &size) {
		t.Errorf("error %v, want a *httphead.SizeError", err)
	}
	if _, err := read(t, http.MethodGet, strings.NewReader(start+"A B: x\r\nA: "+strings.Repeat("x", connBufferSize)+"\r\n"+end)); !httphead.Malformed(err) {
		t.Errorf("error %v, want one of a malformed response", err)
	}
}

// checkRead reads bytes as a response. One that is accepted must have proper heads, and be that
// which the parser reads from them alone.
func checkRead(t *testing.T, text string, n int) {
	t.Helper()
	resp, err := read(t, http.MethodPost, split(text, n))
	if err != nil {
		return
	}
	rest := text
	for {
		h, err := httphead.Response([]byte(rest))
		if err != nil || h.Size == 0 {
			t.Fatalf("%q: status %d, but the head %q is not proper: %v", text, resp.StatusCode(), rest, err)
		}
		if h.Status >= http.StatusOK {
			break
		}
		rest = rest[h.Size:]
	}
	var want fasthttp.Response
	if err := want.Read(bufio.NewReader(strings.NewReader(rest))); err != nil || want.StatusCode() != resp.StatusCode() || string(want.Body()) != string(resp.Body()) {
		t.Errorf("%q: status %d, body %q; want status %d, body %q, error %v", text, resp.StatusCode(), resp.Body(), want.StatusCode(), want.Body(), err)
	}
	if head, err := httphead.Response([]byte(rest)); err != nil || !head.Chunked && !strings.HasPrefix(rest[head.Size:], string(resp.Body())) {
		t.Errorf("%q: body %q, which does not follow the head", text, resp.Body())
	}
}

func FuzzReadResponse(f *testing.F) {
	for _, text := range malformedResponses() {
		f.Add(text, uint(len(text)/2))
	}
	f.Fuzz(func(t *testing.T, text string, n uint) { checkRead(t, text, int(n%uint(len(text)+1))) })
}

// Seeded changes of responses are read as by the rule.
func TestChangedResponsesAreReadByTheRule(t *testing.T) {
	t.Parallel()
	const likely = " \t\r\n:\x00\x7f\xff/0123456789AHTP"
	random := rand.New(rand.NewPCG(58, 3))
	texts := malformedResponses()
	for range 20_000 {
		text := []byte(texts[random.IntN(len(texts))])
		for range 1 + random.IntN(3) {
			text[random.IntN(len(text))] = likely[random.IntN(len(likely))]
		}
		checkRead(t, string(text), random.IntN(len(text)))
	}
}

// After a malformed response its connection is closed, and others are served.
func TestConnectionOfAMalformedResponseIsNotUsedAgain(t *testing.T) {
	t.Parallel()
	c := New(Config{Addr: startScriptedServer(t, "HTTP/1.1 200 OK\r\nAnswer-To: a\r\nNa me: x\r\nContent-Length: 3\r\n\r\none", response("b", "two")), MaxConns: 1, DialTimeout: time.Second})
	defer c.Close()
	if body, err := fetch(c, "a"); !httphead.Malformed(err) {
		t.Errorf("body %q, error %v; want one of a malformed response", body, err)
	}
	if open, _ := c.Conns(); open != 0 {
		t.Errorf("%d connections are open", open)
	}
	if body, err := fetch(c, "b"); err != nil || body != "two" {
		t.Errorf("body %q, error %v", body, err)
	}
}

package httphead

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/valyala/fasthttp"
)

// received is a connection on which given bytes arrive in parts, and which takes what is written.
type received struct {
	net.Conn
	r io.Reader
}

func (c received) Read(p []byte) (int, error)  { return c.r.Read(p) }
func (c received) Write(p []byte) (int, error) { return len(p), nil }

// readThrough reads a response that arrives in parts through a ClientConn, as a client of
// fasthttp does.
func readThrough(text string, parts func(io.Reader) io.Reader) (*fasthttp.Response, error) {
	c := NewClientConn(received{r: parts(strings.NewReader(text))})
	_, _ = c.Write([]byte("GET / HTTP/1.1\r\n\r\n")) // never fails
	var resp fasthttp.Response
	return &resp, resp.ReadLimitBody(bufio.NewReader(c), 1<<20)
}

func whole(r io.Reader) io.Reader { return r }

const (
	chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	lengthHead  = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
)

// properResponses have the body "whole", or none.
var properResponses = []string{
	lengthHead + "whole",
	"HTTP/1.1 200 OK\r\n\r\nwhole",
	"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
	chunkedHead + "5\r\nwhole\r\n0\r\n\r\n",
	chunkedHead + "1;a=b\r\nw\r\n004\r\nhole\r\n0\r\nX-Sum: 1\r\n\r\n",
	"HTTP/1.1 103 x\r\nLink: a\r\n\r\n" + chunkedHead + "5\r\nwhole\r\n0\r\n\r\n",
	"HTTP/1.1 204 No Content\r\n\r\n",
	"HTTP/1.1 304 x\r\nTransfer-Encoding: chunked\r\n\r\n",
}

func TestClientConnPassesOnWhatIsProper(t *testing.T) {
	t.Parallel()
	for _, text := range properResponses {
		for name, parts := range map[string]func(io.Reader) io.Reader{"whole": whole, "halves": iotest.HalfReader, "bytes": iotest.OneByteReader} {
			resp, err := readThrough(text, parts)
			if err != nil || len(resp.Body()) > 0 && string(resp.Body()) != "whole" {
				t.Errorf("%q in %s: body %q, error %v", text, name, resp.Body(), err)
			}
		}
		for n := range len(text) {
			cut, errCut := readThrough(text[:n], whole)
			var plain fasthttp.Response
			if err := plain.ReadLimitBody(bufio.NewReader(strings.NewReader(text[:n])), 1<<20); (err == nil) != (errCut == nil) || err == nil && !bytes.Equal(cut.Body(), plain.Body()) {
				t.Errorf("%q: error %v, without the check %v", text[:n], errCut, err)
			}
		}
	}
}

func TestClientConnStopsAtWhatIsMalformed(t *testing.T) {
	t.Parallel()
	for _, text := range []string{
		"HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 020 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nNa me: x\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nContent -Length: 5\r\n\r\nwhole",
		"HTTP/1.1 103 x\r\nLi nk: a\r\n\r\n" + lengthHead + "whole",
		"HTTP/1.1 103 x\r\nLink: a\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		chunkedHead + "5\r\nwhole\r\n0\r\nX Sum: 1\r\n\r\n",
		chunkedHead + "5\r\nwhole\r\n0\r\nX-Sum : 1\r\n\r\n",
	} {
		for name, parts := range map[string]func(io.Reader) io.Reader{"whole": whole, "halves": iotest.HalfReader, "bytes": iotest.OneByteReader} {
			resp, err := readThrough(text, parts)
			if !Malformed(err) {
				t.Errorf("%q in %s: status %d, body %q, error %v; want one of a malformed message", text, name, resp.StatusCode(), resp.Body(), err)
			}
		}
	}
}

// A response that is read through a ClientConn is the one that fasthttp reads without it, and
// begins with a proper head.
func FuzzClientConn(f *testing.F) {
	for _, text := range properResponses {
		f.Add(text)
	}
	f.Fuzz(checkClientConn)
}

func TestClientConnAddsNothing(t *testing.T) {
	t.Parallel()
	random := rand.New(rand.NewPCG(58, 2))
	for range 20_000 {
		text := []byte(properResponses[random.IntN(len(properResponses))])
		for range random.IntN(4) {
			text = mutate(random, text)
		}
		checkClientConn(t, string(text))
	}
}

func checkClientConn(t *testing.T, text string) {
	t.Helper()
	resp, err := readThrough(text, iotest.HalfReader)
	var plain fasthttp.Response
	plainErr := plain.ReadLimitBody(bufio.NewReader(strings.NewReader(text)), 1<<20)
	switch {
	case err != nil && plainErr == nil && !Malformed(err):
		t.Errorf("%q: error %v, without the check none", text, err)
	case err == nil && (plainErr != nil || resp.StatusCode() != plain.StatusCode() || !bytes.Equal(resp.Body(), plain.Body())):
		t.Errorf("%q: status %d, body %q; without the check status %d, body %q, error %v", text, resp.StatusCode(), resp.Body(), plain.StatusCode(), plain.Body(), plainErr)
	case err == nil && strictSize(strictResponse, text) == 0:
		t.Errorf("%q: status %d, body %q; want an error", text, resp.StatusCode(), resp.Body())
	}
}

// Bytes that follow a response must not be taken for the next one, whether they arrive with it or
// later.
func TestClientConnSendsNothingBehindSurplus(t *testing.T) {
	t.Parallel()
	c := NewClientConn(received{r: strings.NewReader(lengthHead + "whole" + lengthHead + "other")})
	if _, err := c.Write([]byte("GET / HTTP/1.1\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.CopyN(io.Discard, c, int64(len(lengthHead+"whole"))); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Write([]byte("GET / HTTP/1.1\r\n\r\n")); n != 0 || !errors.Is(err, ErrSurplus) {
		t.Errorf("%d bytes sent, error %v", n, err)
	}
}

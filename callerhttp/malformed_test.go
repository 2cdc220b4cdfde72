package callerhttp

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/httphead"
)

// malformedRequests have a line that HTTP excludes, in a head or a trailer.
func malformedRequests() []string {
	var all []string
	for _, line := range []string{
		"Na me: x", "Name : x", " Name: x", "\tName: x", "Na\tme: x", "Na\x00me: x", "Na\x01me: x", "Na\x7fme: x", "(Name): x", ": x", "Name", "Name: \x00", "Name: a\rb",
		"Content -Length: 5", "Content-Length : 5", " Content-Length: 5", "Transfer-Encoding : chunked", "Shard Key: 5",
	} {
		all = append(all,
			"POST /now/a HTTP/1.1\r\nHost: h\r\n"+line+"\r\n\r\n",
			"POST /now/a HTTP/1.1\r\nHost: h\r\n"+line+"\r\nContent-Length: 3\r\n\r\nabc",
			"POST /now/a HTTP/1.1\r\nHost: h\r\n"+line+"\nContent-Length: 3\r\n\r\nabc",
			"POST /now/a HTTP/1.1\r\nHost: h\r\n"+strings.Replace(line, ":", "\n:", 1)+"\r\n\r\n",
			"POST /now/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Sum: 1\r\n"+line+"\r\n\r\n",
		)
	}
	// A line that ends with LF alone is one for some readers only.
	const head, chunked = "POST /now/a HTTP/1.1\r\nHost: h\r\n", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
	all = append(all,
		head+"\nContent-Length: 3\r\n\r\nabc", head+"Content-Length: 3\r\n\nName: x\r\n\r\nabc", head+"Content-Length: 3\n\r\nabc", head+"Content-Length: 3\r\n\nabc", head+"\n",
		"\n"+head+"\r\n", "POST /now/a HTTP/1.1\nHost: h\r\n\r\n", "POST /now/a HTTP/1.1\nHost: h\nContent-Length: 3\n\nabc", "\r\nGET /now/a HTTP/1.1\nHost: h\n\r\n\r\n\r\n",
		head+chunked+"\n", head+chunked+"\nX-Sum: 1\r\n\r\n", head+chunked+"X-Sum: 1\r\n\n\r\n", head+chunked+"X-Sum: 1\n\r\n",
		head+strings.Replace(chunked, "3\r", "3", 1)+"\r\n", head+strings.Replace(chunked, "c\r", "c", 1)+"\r\n", head+strings.Replace(chunked, "0\r", "0", 1)+"\r\n",
	)
	return append(all, "GET /now/a HTTP/2.0\r\nHost: h\r\n\r\n", "GET  /now/a HTTP/1.1\r\nHost: h\r\n\r\n", "G(T /now/a HTTP/1.1\r\nHost: h\r\n\r\n", "GET /now/\x01a HTTP/1.1\r\nHost: h\r\n\r\n")
}

// Requests with blanks or line feeds in the names of fields were passed on to targets. Those with
// "Content -Length", or with a line feed before "Content-Length", left their bodies to be read as the
// next request.
func TestMalformedRequestIsRejected(t *testing.T) {
	t.Parallel()
	h := newFakeHandler()
	h.instant, h.respond = true, func(x *Exchange) { echo(&x.Ctx) }
	_, addr := start(t, testConfig(), h)
	for _, request := range malformedRequests() {
		for name, send := range map[string]func(*testing.T, string, string) string{"at once": exchange, "in pieces": exchangeInPieces} {
			if got := send(t, addr, request); !strings.HasPrefix(got, "HTTP/1.1 400 ") || strings.Count(got, "HTTP/1.") != 1 {
				t.Errorf("%q %s: got %.200s; want 400 alone", request, name, got)
			}
		}
	}
	for _, request := range []string{get("/now/a"), "GET /now/a HTTP/1.1\r\nHost:h\r\n!#$%&'*+-.^_`|~09az:\t\"a b\" \xe4\t\r\nEmpty:\r\n\r\n", "\r\n\r\nGET /now/a HTTP/1.1\r\nHost: h\r\n\r\n\r\n\r\n"} {
		if got := exchange(t, addr, request); !strings.HasPrefix(got, "HTTP/1.1 200 ") {
			t.Errorf("%q: got %.200s; want 200", request, got)
		}
	}
}

// The error of a malformed request names the line without the bytes of the request.
func TestErrorOfAMalformedRequestHasNoBytesOfIt(t *testing.T) {
	t.Parallel()
	_, err := httphead.Request([]byte("GET / HTTP/1.1\r\nSe cret: x\r\n\r\n"))
	text := (&ReadError{Part: partHead, Err: err}).Error()
	if !strings.Contains(text, "line 2 of the head") || strings.Contains(text, "Se cret") {
		t.Errorf("%q", text)
	}
}

// Seeded changes of requests are served only if their heads are proper.
func TestChangedRequestsAreReadByTheRule(t *testing.T) {
	t.Parallel()
	h := newFakeHandler()
	h.instant, h.respond = true, func(x *Exchange) { x.Ctx.SetStatusCode(fasthttp.StatusOK) }
	_, addr := start(t, testConfig(), h)
	const likely = " \t\r\n:\x00\x7f\xff/0123456789AHTP"
	random := rand.New(rand.NewPCG(58, 4))
	texts := malformedRequests()
	for range 3000 {
		text := []byte(texts[random.IntN(len(texts))])
		for range 1 + random.IntN(3) {
			text[random.IntN(len(text))] = likely[random.IntN(len(likely))]
		}
		c := dial(t, addr)
		c.send(string(text))
		if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
			t.Fatal(err)
		}
		size, err := httphead.Request(text)
		if resp, readErr := http.ReadResponse(c.r, nil); readErr == nil && resp.StatusCode == http.StatusOK && (size == 0 || err != nil) {
			t.Errorf("%q was served; size of its head %d, error %v", text, size, err)
		}
		_ = c.Close()
	}
}

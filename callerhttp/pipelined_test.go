package callerhttp

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/pipeline"
)

// ok is the response of fakeHandler to a GET request.
func ok(path string) response { return response{status: 200, body: path + " "} }

// closing is ok with Connection: close.
func closing(path string) response { return response{status: 200, body: path + " ", closes: true} }

// ended is what a client reads at the end of a connection.
var ended response

// Requests behind a slow one stayed unread in the socket until it had its response.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	h := newFakeHandler()
	s, addr := start(t, testConfig(), h)
	c := dial(t, addr)
	c.send(get("/a", "/b"))
	h.await(t, "begin /b")
	c.send(get("/c")) // while both run
	h.await(t, "begin /c")
	h.end("/c")
	h.end("/b")
	s.awaitRunning(t, 1)
	h.end("/a")
	c.expect(ok("/a"), ok("/b"), ok("/c"))
	h.await(t, "awaited")
	c.send(get("/now/d"))
	c.expect(ok("/now/d"))
}

// A request that must not be repeated may not begin before every response in front of it has
// been written.
func TestNonIdempotentBeginsAfterResponses(t *testing.T) {
	h := newFakeHandler()
	s, addr := start(t, testConfig(), h)
	c := dial(t, addr)
	c.send(get("/a", "/b", "/once/c", "/d"))
	h.await(t, "begin /d")
	h.end("/b")
	h.end("/d")
	s.awaitRunning(t, 2)
	if h.saw("begin /once/c") {
		t.Error("it is begun while an earlier request runs")
	}
	h.end("/a")
	h.await(t, "begin /once/c")
	h.end("/once/c")
	c.expect(ok("/a"), ok("/b"), ok("/once/c"), ok("/d"))
}

// A request whose deadline passed while it waited was run although nobody could use it.
func TestWaitingRequestIsRefusedAfterItsDeadline(t *testing.T) {
	h := newFakeHandler()
	h.timeout = 50 * time.Millisecond
	_, addr := start(t, testConfig(), h)
	c := dial(t, addr)
	c.send(get("/a", "/once/b"))
	h.await(t, "begin /a")
	time.Sleep(2 * h.timeout)
	h.end("/a")
	c.expect(ok("/a"), response{status: 503})
	if h.saw("begin /once/b") {
		t.Error("it was begun")
	}
}

// On a graceful shutdown all requests that have been begun get their responses, the last one
// with Connection: close. A request that must not be repeated behind them is not begun.
func TestShutdownAnswersWhatWasBegun(t *testing.T) {
	h := newFakeHandler()
	s, addr := start(t, testConfig(), h)
	c, idle := dial(t, addr), dial(t, addr)
	idle.send(get("/now/a"))
	idle.expect(ok("/now/a"))
	c.send(get("/a", "/b", "/once/c"))
	h.await(t, "read /once/c")
	done := make(chan error, 1)
	go func() { done <- s.ShutdownWithContext(context.Background()) }()
	idle.expect(ended)
	h.end("/a")
	c.expect(ok("/a"))
	h.end("/b")
	c.expect(closing("/b"), ended)
	h.await(t, "discard /once/c")
	_ = c.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if n := s.GetOpenConnectionsCount(); n != 0 || h.saw("begin /once/c") {
		t.Errorf("%d connections are open; begun: %v", n, h.saw("begin /once/c"))
	}
}

// When a response closes the connection, what has been begun behind it is answered first.
func TestClosingResponseIsTheLast(t *testing.T) {
	h := newFakeHandler()
	h.respond = func(x *Exchange) {
		path := string(x.Ctx.Request.Header.RequestURI())
		x.Ctx.SetBodyString(path + " ")
		if path == "/a" {
			x.Ctx.SetConnectionClose()
		}
	}
	_, addr := start(t, testConfig(), h)
	c := dial(t, addr)
	c.send(get("/a", "/b", "/once/c"))
	h.await(t, "read /once/c")
	h.end("/a")
	h.end("/b")
	c.expect(ok("/a"), closing("/b"), ended)
	h.await(t, "discard /once/c")
}

// Connection: close of a request applies after its response; what follows it is not read.
func TestCallerAsksForClose(t *testing.T) {
	h := newFakeHandler()
	_, addr := start(t, testConfig(), h)
	c := dial(t, addr)
	c.send(get("/a") + "GET /once/b HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + get("/once/c"))
	h.await(t, "begin /a")
	h.end("/a")
	h.end("/once/b")
	c.expect(ok("/a"), closing("/once/b"), ended)
	if h.saw("begin /once/c") {
		t.Error("a request behind the last one was begun")
	}
}

// A malformed request ended its connection at once, and those before it lost their responses.
func TestMalformedRequestBehindOthers(t *testing.T) {
	h := newFakeHandler()
	_, addr := start(t, testConfig(), h)
	c := dial(t, addr)
	c.send(get("/a", "/once/b") + "nonsense\r\n\r\n" + get("/once/c"))
	h.await(t, "error 400")
	h.end("/a")
	h.end("/once/b")
	c.expect(ok("/a"), ok("/once/b"), response{status: 400, closes: true}, ended)
}

// A request that is never complete must not keep the responses of those before it.
func TestIncompleteRequestBehindOthers(t *testing.T) {
	h := newFakeHandler()
	config := testConfig()
	config.ReadTimeout = 100 * time.Millisecond
	_, addr := start(t, config, h)
	c := dial(t, addr)
	c.send(get("/now/a") + "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n123")
	c.expect(ok("/now/a"), response{status: 408, closes: true}, ended)
}

// A caller that closes its connection must cancel all its requests, also those behind the first.
func TestCallerLeaves(t *testing.T) {
	h := newFakeHandler()
	s, addr := start(t, testConfig(), h)
	c := dial(t, addr)
	c.send(get("/a", "/b", "/once/c"))
	h.await(t, "begin /b")
	_ = c.Close()
	for _, path := range []string{"/a", "/b", "/once/c"} {
		h.await(t, "cancel "+path)
	}
	awaitNoConns(t, s)
}

// awaitRunning waits until n requests have no response yet.
func (s *Server) awaitRunning(t *testing.T, n int) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		running := 0
		for _, c := range s.all() {
			c.mu.Lock()
			c.queue.Each(func(*Exchange) { running++ })
			c.mu.Unlock()
		}
		if running == n {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d requests run, want %d", running, n)
		}
	}
}

func awaitNoConns(t *testing.T, s *Server) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); s.GetOpenConnectionsCount() > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are open", s.GetOpenConnectionsCount())
		}
	}
}

// What is read ahead of a connection must be bounded.
func TestWindowIsBounded(t *testing.T) {
	h := newFakeHandler()
	config := testConfig()
	config.Window = pipeline.Limits{Requests: 3, Bytes: 1 << 20}
	_, addr := start(t, config, h)
	c := dial(t, addr)
	c.send(get("/a", "/b", "/c", "/d"))
	h.await(t, "begin /c")
	time.Sleep(20 * time.Millisecond)
	if h.saw("begin /d") {
		t.Error("a fourth request was begun beside three")
	}
	h.end("/a")
	h.await(t, "begin /d")
	for _, path := range []string{"/b", "/c", "/d"} {
		h.end(path)
	}
	c.expect(ok("/a"), ok("/b"), ok("/c"), ok("/d"))
}

// A caller that sends and never reads must not take more and more memory, and its connection is
// closed after the write timeout.
func TestCallerThatNeverReads(t *testing.T) {
	h := newFakeHandler()
	large := strings.Repeat("x", 1<<20)
	h.respond = func(x *Exchange) { x.Ctx.SetBodyString(large) }
	config := testConfig()
	config.WriteTimeout = 200 * time.Millisecond
	s, addr := start(t, config, h)
	c := dial(t, addr)
	if err := c.Conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
		t.Fatal(err)
	}
	for range 100 {
		c.send(get("/now/a"))
	}
	awaitNoConns(t, s)
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.events); n > 60 {
		t.Errorf("%d events of requests whose responses were not read", n)
	}
}

// A caller that reads slowly, but goes on reading, gets all of a response that takes longer
// than the write timeout.
func TestCallerThatReadsSlowly(t *testing.T) {
	h := newFakeHandler()
	h.respond = func(x *Exchange) { x.Ctx.SetBodyString(strings.Repeat("x", 8<<20)) }
	config := testConfig()
	config.WriteTimeout = 300 * time.Millisecond
	_, addr := start(t, config, h)
	c := dial(t, addr)
	c.send(get("/now/a"))
	read := 0
	for b := make([]byte, 512<<10); read < 8<<20; time.Sleep(40 * time.Millisecond) {
		n, err := c.Conn.Read(b)
		if read += n; err != nil {
			t.Fatalf("after %d bytes: %v", read, err)
		}
	}
}

package callerhttp

import (
	"net"
	"testing"
	"time"
)

// A connection without a request must not stay open for ever, and one that never sent any is told
// why it is closed.
func TestIdleConnectionsAreClosed(t *testing.T) {
	t.Parallel()
	h := newFakeHandler()
	config := testConfig()
	config.IdleTimeout, config.ReadTimeout = 150*time.Millisecond, 100*time.Millisecond
	_, addr := start(t, config, h)
	used, unused := dial(t, addr), dial(t, addr)
	used.send(get("/now/a"))
	used.expect(ok("/now/a"), ended)
	unused.expect(response{status: 408, closes: true}, ended)
}

// The idle time counts from the last response: a request that runs for longer must not lose its
// connection, nor the one behind it.
func TestIdleTimeDoesNotCountWhileRequestsRun(t *testing.T) {
	t.Parallel()
	h := newFakeHandler()
	config := testConfig()
	config.IdleTimeout = 100 * time.Millisecond
	_, addr := start(t, config, h)
	c := dial(t, addr)
	c.send(get("/a"))
	h.await(t, "begin /a")
	time.Sleep(3 * config.IdleTimeout)
	c.send(get("/now/b"))
	h.await(t, "begin /now/b")
	h.end("/a")
	c.expect(ok("/a"), ok("/now/b"), ended)
}

// A request that arrives in pieces, each in time, must be complete within the read timeout.
func TestSlowRequestIsEnded(t *testing.T) {
	t.Parallel()
	h := newFakeHandler()
	config := testConfig()
	config.ReadTimeout = 200 * time.Millisecond
	_, addr := start(t, config, h)
	c := dial(t, addr)
	go func() {
		for _, b := range []byte(get("/now/aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa")) {
			if _, err := c.Write([]byte{b}); err != nil {
				return // the server has closed the connection
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	c.expect(response{status: 408, closes: true}, ended)
}

// A request that has arrived together with the end of the sending direction is answered, after
// its work was canceled.
func TestCallerEndsItsSendingDirection(t *testing.T) {
	t.Parallel()
	h := newFakeHandler()
	_, addr := start(t, testConfig(), h)
	c := dial(t, addr)
	c.send(get("/a", "/b") + "GET /c")
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	h.await(t, "cancel /b")
	c.expect(ok("/a"), ok("/b"), response{status: 400, closes: true}, ended)
}

// A caller that waits for "100 Continue" behind a slow request got 408: the deadline of an earlier
// read had passed meanwhile.
func TestExpectBehindASlowRequest(t *testing.T) {
	t.Parallel()
	h := newFakeHandler()
	config := testConfig()
	config.ReadTimeout = 300 * time.Millisecond
	_, addr := start(t, config, h)
	c := dial(t, addr)
	c.send(get("/a") + "POST /now/b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n")
	h.await(t, "begin /a")
	time.Sleep(2 * config.ReadTimeout)
	h.end("/a")
	c.expect(ok("/a"), response{status: 100})
	c.send("abc")
	c.expect(response{status: 200, body: "/now/b abc"})
}

package callerhttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/pipeline"
	"github.com/parsleystack/parsleystack/recvlimit"
)

// fakeHandler runs requests until the test lets them end. The path of a request names it; one
// that begins with /once/ is not idempotent, one with /now/ is answered at once, and one with
// /refused/ by Prepare.
type fakeHandler struct {
	mu      sync.Mutex
	cond    *sync.Cond
	events  []string
	ended   map[string]bool
	timeout time.Duration
	instant bool // all requests are idempotent and end at once
	respond func(x *Exchange)
}

func newFakeHandler() *fakeHandler {
	h := &fakeHandler{ended: make(map[string]bool), timeout: time.Minute}
	h.cond = sync.NewCond(&h.mu)
	return h
}

func (h *fakeHandler) record(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, fmt.Sprintf(format, args...))
	h.cond.Broadcast()
}

// end lets a request end.
func (h *fakeHandler) end(path string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended[path] = true
	h.cond.Broadcast()
}

// await waits for an event.
func (h *fakeHandler) await(t *testing.T, event string) {
	t.Helper()
	timer := time.AfterFunc(10*time.Second, func() { h.record("timeout") })
	defer timer.Stop()
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		for _, e := range h.events {
			if e == event {
				return
			}
			if e == "timeout" {
				t.Fatalf("no event %q, only %q", event, h.events)
			}
		}
		h.cond.Wait()
	}
}

func (h *fakeHandler) saw(event string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.events {
		if e == event {
			return true
		}
	}
	return false
}

func (h *fakeHandler) Prepare(x *Exchange) Work {
	w := &fakeWork{h: h, x: x, path: string(x.Ctx.Request.Header.RequestURI()), deadline: clock.Now().Add(h.timeout)}
	if x.BodyTooLarge {
		x.Ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
		return nil
	}
	if strings.HasPrefix(w.path, "/refused/") {
		x.Ctx.SetStatusCode(fasthttp.StatusNotFound)
		return nil
	}
	h.record("read %s", w.path)
	return w
}

func (h *fakeHandler) ReadError(x *Exchange, err error) {
	status := errorStatus(err)
	x.Ctx.Error("", status)
	h.record("error %d", status)
}

// errorStatus returns the status of the response to a request that could not be read.
func errorStatus(err error) int {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	var budget *recvlimit.BudgetError
	var crowded *ConnLimitError
	switch {
	case errors.As(err, &small):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &budget), errors.As(err, &crowded):
		return fasthttp.StatusServiceUnavailable
	case errors.As(err, &timeout) && timeout.Timeout():
		return fasthttp.StatusRequestTimeout
	}
	return fasthttp.StatusBadRequest
}

func (h *fakeHandler) TurnAwaited(time.Duration) { h.record("awaited") }

type fakeWork struct {
	h        *fakeHandler
	x        *Exchange
	path     string
	deadline clock.Time
	canceled bool
}

func (w *fakeWork) Idempotent() bool     { return w.h.instant || !strings.HasPrefix(w.path, "/once/") }
func (w *fakeWork) Deadline() clock.Time { return w.deadline }
func (w *fakeWork) Release()             {}
func (w *fakeWork) Discard()             { w.h.record("discard %s", w.path) }

func (w *fakeWork) Refuse() {
	w.h.record("refuse %s", w.path)
	w.x.Ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

func (w *fakeWork) Cancel() {
	w.h.record("cancel %s", w.path)
	w.h.mu.Lock()
	defer w.h.mu.Unlock()
	w.canceled = true
	w.h.cond.Broadcast()
}

func (w *fakeWork) Serve() {
	w.h.record("begin %s", w.path)
	w.h.mu.Lock()
	for !w.h.instant && !w.h.ended[w.path] && !w.canceled && !strings.HasPrefix(w.path, "/now/") {
		w.h.cond.Wait()
	}
	w.h.mu.Unlock()
	if w.h.respond != nil {
		w.h.respond(w.x)
		return
	}
	w.x.Ctx.SetBodyString(w.path + " " + string(w.x.Ctx.Request.Body()))
}

func testConfig() Config {
	return Config{
		MaxConns: 100, MaxHeader: 32 << 10, MaxBody: func() int { return 1 << 20 },
		Window:      pipeline.Limits{Requests: 8, Bytes: 1 << 20},
		ReadTimeout: time.Minute, IdleTimeout: time.Minute, WriteTimeout: time.Minute,
	}
}

// start serves a handler and returns the server and its address.
func start(t testing.TB, c Config, h Handler) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(c, h)
	done := make(chan error, 1)
	counting := &countingListener{Listener: l}
	accepts.Store(s, counting)
	go func() { done <- s.Serve(counting) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.ShutdownWithContext(ctx) // closes what is left
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s, l.Addr().String()
}

// accepts has the listeners of the servers that start has started.
var accepts sync.Map

// countingListener counts how often the server has asked for a connection.
type countingListener struct {
	net.Listener
	calls atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	l.calls.Add(1)
	return l.Listener.Accept()
}

// awaitAccepted waits until the server has decided on a number of connections. Others may still
// wait to be accepted after their callers have connected.
func (s *Server) awaitAccepted(t testing.TB, connections int) {
	t.Helper()
	l, _ := accepts.Load(s)
	for end := time.Now().Add(10 * time.Second); l.(*countingListener).calls.Load() <= int64(connections); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections were accepted, want %d", l.(*countingListener).calls.Load()-1, connections)
		}
	}
}

// client is one connection of a caller.
type client struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func dial(t *testing.T, addr string) *client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return &client{Conn: c, t: t, r: bufio.NewReader(c)}
}

func (c *client) send(s string) {
	c.t.Helper()
	if _, err := io.WriteString(c.Conn, s); err != nil {
		c.t.Fatal(err)
	}
}

// get returns the bytes of GET requests.
func get(paths ...string) string {
	var b strings.Builder
	for _, p := range paths {
		fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", p)
	}
	return b.String()
}

// response is what a client reads of a response.
type response struct {
	status int
	body   string
	closes bool
}

// read reads a response. At the end of the connection it returns a response with status 0.
func (c *client) read(method string) response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			c.t.Errorf("read a response: %v", err)
		}
		return response{}
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Error(err)
	}
	return response{status: resp.StatusCode, body: string(body), closes: resp.Close}
}

func (c *client) expect(want ...response) {
	c.t.Helper()
	for i, w := range want {
		if got := c.read("GET"); got != w {
			c.t.Errorf("response %d is %+v, want %+v", i, got, w)
		}
	}
}

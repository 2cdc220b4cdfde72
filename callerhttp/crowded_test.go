package callerhttp

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/recvlimit"
)

// Callers that open connections and send nothing, or no whole head, must not keep others out;
// connections that have carried a request, or carry one, stay open.
func TestConnectionsWithoutRequestsGiveWay(t *testing.T) {
	h := newFakeHandler()
	config := testConfig()
	config.MaxConns = 16
	s, addr := start(t, config, h)
	kept, busy := dial(t, addr), dial(t, addr)
	kept.send(get("/now/a"))
	kept.expect(ok("/now/a"))
	busy.send(get("/busy"))
	h.await(t, "begin /busy")
	const crowd = 100
	for i := range crowd {
		c := dial(t, addr)
		if i%2 == 0 {
			c.send("GET /a HTTP/1.1\r\nHost")
		}
	}
	s.awaitAccepted(t, 2+crowd)
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if n := s.GetOpenConnectionsCount(); n <= config.MaxConns {
			break
		} else if n > config.MaxConns+config.MaxConns/leavingShare || time.Now().After(end) {
			t.Fatalf("%d connections are open", n)
		}
	}
	c := dial(t, addr)
	c.send(get("/now/b"))
	c.expect(ok("/now/b"))
	kept.send(get("/now/c"))
	kept.expect(ok("/now/c"))
	h.end("/busy")
	busy.expect(ok("/busy"))
}

// If all connections carry requests, none is closed for a new one.
func TestConnectionsWithRequestsStay(t *testing.T) {
	h := newFakeHandler()
	config := testConfig()
	config.MaxConns = 4
	_, addr := start(t, config, h)
	var kept []*client
	for i := range config.MaxConns {
		c := dial(t, addr)
		path := fmt.Sprintf("/%d", i)
		c.send(get("/now/a", path))
		h.await(t, "begin "+path)
		c.expect(ok("/now/a"))
		kept = append(kept, c)
	}
	dial(t, addr).expect(response{status: 503, closes: true})
	for i, c := range kept {
		path := fmt.Sprintf("/%d", i)
		h.end(path)
		c.expect(ok(path))
		c.send(get("/now/b"))
		c.expect(ok("/now/b"))
	}
}

// Connections that were served and then stop, idle or within a request, must not keep others
// out; those with requests in progress stay.
func TestConnectionsThatStopGiveWay(t *testing.T) {
	for name, piece := range map[string]string{
		"idle": "", "head": "GET /a HTTP/1.1\r\nHost", "body": post("/a", 9) + "b", "chunk": strings.TrimSuffix(chunked("3\r\nabc\r\n"), "\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			h := newFakeHandler()
			config := testConfig()
			config.MaxConns = 16
			s, addr := start(t, config, h)
			working := dial(t, addr)
			working.send(get("/now/a", "/busy"))
			h.await(t, "begin /busy")
			working.expect(ok("/now/a"))
			var stopped []*client
			for range 4 * config.MaxConns {
				c := dial(t, addr)
				c.send(get("/now/a"))
				c.expect(ok("/now/a"))
				c.send(piece)
				stopped = append(stopped, c)
				if open := s.GetOpenConnectionsCount(); open > config.MaxConns {
					t.Fatalf("%d connections are open", open)
				}
			}
			if piece == "" {
				stopped[0].expect(ended)
			} else if got := stopped[0].read("POST"); got != (response{status: 503, closes: true}) && got != ended {
				t.Errorf("got %+v on a connection that was closed for another one", got)
			}
			h.end("/busy")
			working.expect(ok("/busy"))
		})
	}
}

// stuckConn is a connection whose caller takes no more bytes once stuck is set.
type stuckConn struct {
	net.Conn
	stuck    *atomic.Bool
	deadline time.Time // of writes
}

func (c *stuckConn) SetWriteDeadline(t time.Time) error {
	c.deadline = t
	return c.Conn.SetWriteDeadline(t)
}

func (c *stuckConn) Write(b []byte) (int, error) {
	if !c.stuck.Load() {
		return c.Conn.Write(b)
	}
	time.Sleep(min(time.Until(c.deadline), 20*time.Second))
	return 0, os.ErrDeadlineExceeded
}

type stuckListener struct {
	net.Listener
	stuck atomic.Bool
}

func (l *stuckListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stuckConn{Conn: c, stuck: &l.stuck}, nil
}

// The refusal of a request whose caller takes no bytes must not keep the place of its connection
// for the write timeout.
func TestRefusalsThatAreNotReadGiveWay(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &stuckListener{Listener: inner}
	config := testConfig()
	config.MaxConns = 4
	s := NewServer(config, newFakeHandler())
	go func() { _ = s.Serve(l) }() // ends with the listener
	t.Cleanup(func() {
		l.stuck.Store(false)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = s.ShutdownWithContext(ctx) // closes what is left
	})
	const stopped = 3 // one more would displace a connection
	for range stopped {
		c := dial(t, inner.Addr().String())
		c.send(get("/now/a"))
		c.expect(ok("/now/a"))
		c.send(post("/a", 9) + "b")
	}
	end := time.Now().Add(10 * time.Second)
	for s.countConns(inBody) < stopped { // unread bytes would keep the connections
		if time.Now().After(end) {
			t.Fatalf("%d of %d connections wait for the rest of a body", s.countConns(inBody), stopped)
		}
		time.Sleep(time.Millisecond)
	}
	l.stuck.Store(true)
	for range 2 * config.MaxConns {
		dial(t, inner.Addr().String())
	}
	for s.ConnStats().Closed[inBody] == 0 || s.leavingConns() > 0 {
		if time.Now().After(end) {
			t.Fatalf("%d connections in a body were closed for others; %d have not ended", s.ConnStats().Closed[inBody], s.leavingConns())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// countConns returns the number of connections with an activity.
func (s *Server) countConns(a activity) int {
	n := 0
	for _, c := range s.all() {
		if current, _ := unpack(c.state.word.Load()); current == a {
			n++
		}
	}
	return n
}

func (s *Server) leavingConns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaving
}

// The connection goes first whose closing costs least.
func TestOrderOfVictims(t *testing.T) {
	now := clock.Time(1 << 50)
	connOf := func(a activity, quiet time.Duration) *conn {
		c := new(conn)
		c.state.set(a, now.Add(-quiet))
		return c
	}
	stalled := connOf(busy, 0)
	stalled.writing.Store(int64(now.Add(-stalledWrite)))
	writing := connOf(busy, 0)
	writing.writing.Store(int64(now.Add(-stalledWrite / 2)))
	taken := connOf(idle, time.Hour)
	taken.state.set(displaced, 0)
	want := []*conn{
		connOf(lingering, 0), connOf(fresh, time.Minute), connOf(idle, time.Minute), connOf(idle, quietTime), connOf(inHead, quietTime), connOf(inBody, time.Hour),
		connOf(inBody, quietTime), connOf(fresh, 0), connOf(idle, time.Second), connOf(inHead, 0), connOf(inBody, time.Second), stalled,
	}
	order := func(conns []*conn) []*conn {
		all := make(map[*conn]struct{})
		for _, c := range conns {
			all[c] = struct{}{}
		}
		var got []*conn
		for next := selectVictims(all, now); len(next) > 0; next = selectVictims(all, now) {
			for _, v := range slices.Backward(next) {
				got = append(got, v.conn)
				delete(all, v.conn)
			}
		}
		return got
	}
	if got := order(append([]*conn{writing, taken, connOf(busy, time.Hour)}, want...)); !slices.Equal(got, want) {
		t.Errorf("%d connections are closed in another order than expected, of %d", len(got), len(want))
	}
	// Among many fresh connections the oldest goes first, whatever the others do.
	flood := []*conn{connOf(fresh, time.Second), connOf(fresh, 0), connOf(idle, time.Minute)}
	if got := order(flood); got[0] != flood[0] || got[1] != flood[1] {
		t.Error("idle connections go before a flood of fresh ones")
	}
}

// Thousands of small fields take many times their bytes once they are parsed. The memory must be
// taken before, in heads and in trailers.
func TestManyFieldsAreCounted(t *testing.T) {
	h := newFakeHandler()
	config := testConfig()
	config.Memory = recvlimit.NewPool(1 << 20)
	_, addr := start(t, config, h)
	fields := strings.Repeat("A:\r\n", 7000)
	for name, request := range map[string]string{
		"head":        "GET /a HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n",
		"empty lines": "\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n",
		"trailer":     chunked("3\r\nabc\r\n0\r\n" + fields + "\r\n"),
	} {
		c := dial(t, addr)
		c.send(request)
		if got := c.read("GET"); got.status != 503 || !got.closes {
			t.Errorf("%s: got %+v", name, got)
		}
	}
	// Lines that end with LF alone are rejected before memory is taken for them.
	c := dial(t, addr)
	c.send("GET /a HTTP/1.1\nHost: h\n" + strings.ReplaceAll(fields, "\r", "") + "\n")
	if got := c.read("GET"); got.status != 400 || !got.closes {
		t.Errorf("line feeds: got %+v", got)
	}
	c = dial(t, addr)
	c.send("GET /now/a HTTP/1.1\r\nHost: h\r\n" + fields[:4*500] + "\r\n")
	c.expect(ok("/now/a"))
}

package callerhttp

import (
	"strings"
	"testing"
	"time"

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
	for range config.MaxConns {
		c := dial(t, addr)
		c.send(get("/now/a"))
		c.expect(ok("/now/a"))
		kept = append(kept, c)
	}
	dial(t, addr).expect(response{status: 503, closes: true})
	for _, c := range kept {
		c.send(get("/now/b"))
		c.expect(ok("/now/b"))
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
		"line feeds":  "GET /a HTTP/1.1\nHost: h\n" + strings.ReplaceAll(fields, "\r", "") + "\n",
		"trailer":     chunked("3\r\nabc\r\n0\r\n" + fields + "\r\n"),
	} {
		c := dial(t, addr)
		c.send(request)
		if got := c.read("GET"); got.status != 503 || !got.closes {
			t.Errorf("%s: got %+v", name, got)
		}
	}
	c := dial(t, addr)
	c.send("GET /now/a HTTP/1.1\r\nHost: h\r\n" + fields[:4*500] + "\r\n")
	c.expect(ok("/now/a"))
}

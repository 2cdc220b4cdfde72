package callerhttp

import (
	"context"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/recvlimit"
)

// post returns the head of a request with a body of n bytes.
func post(path string, n int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, n)
}

// Bodies that stop short of their end add up. The one that has made no progress for the longest
// time must give way to others, with a status that says that it was not run.
func TestStalledBodyGivesWay(t *testing.T) {
	h := newFakeHandler()
	config := testConfig()
	config.Memory = recvlimit.NewPool(8 << 20)
	_, addr := start(t, config, h)
	body := strings.Repeat("b", 1<<20)
	stalled := []string{
		post("/stalled", len(body)) + body[1:],
		strings.TrimSuffix(chunked(fmt.Sprintf("%x\r\n%s\r\n", len(body), body)), "0\r\n\r\n"),
	}
	first := dial(t, addr)
	first.send(stalled[0])
	for i := 1; !h.saw("error 503"); i++ {
		dial(t, addr).send(stalled[i%2])
		for end := time.Now().Add(10 * time.Second); config.Memory.Held() < (i+1)*len(body) && !h.saw("error 503"); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d bytes are held after %d bodies", config.Memory.Held(), i+1)
			}
		}
	}
	first.expect(response{status: 503, closes: true}, ended)
	c := dial(t, addr)
	c.send(get("/now/a"))
	c.expect(ok("/now/a"))
}

// A body over the limit, announced or sent, must be refused without being read into memory, and
// the caller must get the response although it has sent all of it.
func TestBodyOverTheLimit(t *testing.T) {
	h := newFakeHandler()
	_, addr := start(t, testConfig(), h)
	body := strings.Repeat("b", 3<<20)
	for name, request := range map[string]string{
		"announced": post("/a", len(body)) + body,
		"chunk":     chunked(fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)),
		"chunks":    chunked(strings.Repeat("1000\r\n"+body[:0x1000]+"\r\n", 768) + "0\r\n\r\n"),
		"expected":  "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 3000000\r\n\r\n",
	} {
		c := dial(t, addr)
		c.send(request)
		if got := c.read("POST"); got != (response{status: 413, closes: true}) {
			t.Errorf("%s: got %+v", name, got)
		}
	}
}

// Heads that never end must not hold more memory than the account allows.
func TestHeadsThatNeverEnd(t *testing.T) {
	h := newFakeHandler()
	config := testConfig()
	config.Memory = recvlimit.NewPool(2 << 20)
	s, addr := start(t, config, h)
	for range 60 {
		c := dial(t, addr)
		c.send("GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 20<<10))
	}
	h.await(t, "error 503")
	c := dial(t, addr)
	c.send(get("/now/a"))
	c.expect(ok("/now/a"))
	// What has been evicted is still held until its connection has noticed.
	if held := config.Memory.Held(); held > config.Memory.Limit()*9/8 {
		t.Errorf("%d bytes are held", held)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.ShutdownWithContext(ctx) // the requests have no responses
	awaitNoConns(t, s)
	awaitHeld(t, config.Memory, 0)
}

func awaitHeld(t *testing.T, p *recvlimit.Pool, want int) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); p.Held() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes stay held", p.Held())
		}
	}
}

// All memory must be returned after requests of all kinds, also those that were cut off.
func TestMemoryIsReturned(t *testing.T) {
	h := newFakeHandler()
	config := testConfig()
	config.Memory = recvlimit.NewPool(64 << 20)
	s, addr := start(t, config, h)
	large := strings.Repeat("b", 300<<10)
	for _, request := range []string{
		get("/now/a", "/now/b", "/refused/c"), post("/now/a", len(large)) + large, chunked("3\r\nabc\r\n0\r\n\r\n"),
		get("/a", "/b", "/once/c"), get("/a") + post("/b", len(large)) + large[1:], "GET /a", "nonsense\r\n\r\n", post("/once/a", 2<<20),
		get("/a") + post("/once/b", len(large)) + large,
	} {
		c := dial(t, addr)
		c.send(request)
		time.Sleep(10 * time.Millisecond)
		_ = c.Close()
	}
	awaitNoConns(t, s)
	awaitHeld(t, config.Memory, 0)
}

// Idle connections took a buffer of the largest head each, 32 KB.
func TestIdleConnectionsTakeLittleMemory(t *testing.T) {
	const conns, perConn = 1000, 16 << 10 // both ends are in this process
	h := newFakeHandler()
	config := testConfig()
	config.MaxConns = 2 * conns
	_, addr := start(t, config, h)
	before := memoryInUse()
	var all []net.Conn
	t.Cleanup(func() {
		for _, c := range all {
			_ = c.Close()
		}
	})
	for range conns {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, c)
		if _, err := io.WriteString(c, get("/now/a")); err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAtLeast(c, make([]byte, 1000), 50); err != nil {
			t.Fatal(err)
		}
	}
	if used := (memoryInUse() - before) / conns; used > perConn {
		t.Errorf("an idle connection takes %d bytes", used)
	} else {
		t.Logf("an idle connection takes %d bytes", used)
	}
}

func memoryInUse() int {
	for range 3 { // pools are emptied by the second collection
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapInuse + m.StackInuse)
}

// Without memory for requests behind others, a connection goes on with one at a time, and none is
// refused for it.
func TestRequestsAheadNeedMemory(t *testing.T) {
	h := newFakeHandler()
	config := testConfig()
	config.Memory = recvlimit.NewPool(connCost + 2*aheadCost + aheadCost/2)
	s, addr := start(t, config, h)
	c := dial(t, addr)
	c.send(get("/a", "/b", "/c", "/d"))
	h.await(t, "begin /c")
	s.awaitRunning(t, 3)
	if h.saw("read /d") {
		t.Error("a request was read ahead without memory")
	}
	for _, path := range []string{"/a", "/b", "/c", "/d"} {
		h.end(path)
	}
	c.expect(ok("/a"), ok("/b"), ok("/c"), ok("/d"))
}

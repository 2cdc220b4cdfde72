package target

import (
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/platform/platformtest"
	"github.com/parsleystack/parsleystack/recvlimit"
)

const (
	chunkHead  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	sizedHead  = "HTTP/1.1 200 OK\r\nContent-Length: 33554432\r\n\r\n"
	closedHead = "HTTP/1.1 200 OK\r\n\r\n"
)

// endlessAnswers are answers whose head or body does not end: what is sent once, and
// what is repeated.
var endlessAnswers = map[string]struct{ prefix, repeat string }{
	"status line":     {"HTTP/1.1 200 O", "K"},
	"header field":    {"HTTP/1.1 200 OK\r\nA: ", "b"},
	"header fields":   {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
	"interim heads":   {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"other answers":   {"", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nAnswer-To: other\r\n\r\n"},
	"no protocol":     {"", "\x00\xff"},
	"line ends":       {"", "\r\n"},
	"chunks":          {chunkHead, "10\r\n0123456789abcdef\r\n"},
	"one chunk":       {chunkHead + "7fffffff\r\n", "x"},
	"chunk size":      {chunkHead, "0"},
	"chunk extension": {chunkHead + "1;", "x"},
	"trailer":         {chunkHead + "0\r\nA: ", "x"},
	"trailers":        {chunkHead + "0\r\n", "A: b\r\n"},
	"body to close":   {closedHead, "x"},
	"huge length":     {"HTTP/1.1 200 OK\r\nContent-Length: 9999999999999\r\n\r\n", "x"},
}

// startEndless starts a server with one endless answer.
func startEndless(t *testing.T, e *platformtest.Endless) (addr string) {
	t.Helper()
	addr, err := e.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return addr
}

// do sends a request that takes at most limit.
func do(c *Client, limit time.Duration) (*Call, bool, error) {
	req, resp := new(fasthttp.Request), new(fasthttp.Response)
	req.Header.SetHost("h")
	req.SetRequestURI("/")
	call := &Call{Request: req, Response: resp, Deadline: time.Now().Add(limit), Accept: func(r *fasthttp.Response) bool {
		return len(r.Header.Peek("Answer-To")) == 0
	}}
	sent, err := c.Do(call)
	return call, sent, err
}

// awaitClosed waits until the server has no open connection.
func awaitClosed(t *testing.T, e *platformtest.Endless) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if open, _ := e.Conns(); open == 0 {
			return
		}
	}
	t.Error("the connection stays open")
}

// A call must end with an error, as sent, and close its connection, whichever part
// of the answer does not end and whether it arrives fast or slowly.
func TestEndlessAnswerEndsTheCall(t *testing.T) {
	for name, answer := range endlessAnswers {
		for _, pause := range []time.Duration{0, 50 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s/%v", name, pause), func(t *testing.T) {
				t.Parallel()
				e := &platformtest.Endless{Prefix: answer.prefix, Repeat: answer.repeat, Pause: pause}
				c := New(Config{Addr: startEndless(t, e), MaxConns: 4, MaxBody: 1 << 20, AllowCloseDelimited: true})
				defer c.Close()
				limit := 20 * time.Second
				if pause > 0 {
					limit = 300 * time.Millisecond
				}
				for range 3 {
					if _, sent, err := do(c, limit); !sent || err == nil {
						t.Errorf("sent %v, error %v, want true and an error", sent, err)
					}
				}
				awaitClosed(t, e)
				if open, _ := c.Conns(); open != 0 {
					t.Errorf("%d connections are open", open)
				}
			})
		}
	}
}

// heapPeak samples the memory of live and unswept objects until stop is called,
// which returns its growth in bytes.
func heapPeak() (stop func() uint64) {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	read := func() uint64 {
		metrics.Read(sample)
		return sample[0].Value.Uint64()
	}
	first, peak := read(), uint64(0)
	var ended atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		for !ended.Load() {
			peak = max(peak, read())
			time.Sleep(time.Millisecond)
		}
	}()
	return func() uint64 {
		ended.Store(true)
		<-done
		return max(peak, first) - first
	}
}

// Bodies that are received at the same time must not exceed the memory of the
// machine together, and small answers must still be received.
func TestEndlessBodiesTogetherFitTheMemory(t *testing.T) {
	answers := make([]string, 100)
	for i := range answers {
		answers[i] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	}
	for name, prefix := range map[string]string{"chunks": chunkHead + "1fffff0\r\n", "stated length": sizedHead, "body to close": closedHead} {
		e := &platformtest.Endless{Prefix: prefix, Repeat: "x", Pause: time.Microsecond}
		if name == "body to close" {
			e.Pause = 0
		}
		pool := recvlimit.NewPool(32 << 20)
		c := New(Config{Addr: startEndless(t, e), MaxConns: 26, MaxBody: 32 << 20, Memory: pool, AllowCloseDelimited: true, DialTimeout: 10 * time.Second})
		small := New(Config{Addr: startScriptedServer(t, answers...), Memory: pool})
		stop := heapPeak()
		var calls sync.WaitGroup
		for range 26 {
			calls.Go(func() {
				if _, sent, err := do(c, 2*time.Second); !sent || err == nil {
					t.Errorf("%s: sent %v, error %v, want true and an error", name, sent, err)
				}
			})
		}
		for range 100 {
			if _, _, err := do(small, 10*time.Second); err != nil {
				t.Errorf("%s: a small answer beside the endless ones: %v", name, err)
			}
		}
		calls.Wait()
		if used := pool.Held(); used != 0 {
			t.Errorf("%s: %d bytes stay reserved", name, used)
		}
		if peak := stop(); peak > 160<<20 {
			t.Errorf("%s: the heap grew by %d MB, want at most 160 MB", name, peak>>20)
		}
		c.Close()
		small.Close()
		awaitClosed(t, e)
	}
}

// A body in chunks of one byte took seconds to decode up to the limit of its size. It must be cut
// when its framing is far larger than the body, and be read whole while it is not.
func TestBodyInTinyChunks(t *testing.T) {
	const fits = 200_000
	for name, c := range map[string]struct {
		body string
		want error
	}{
		"endless":            {strings.Repeat("1\r\nx\r\n", 300_000), ErrTooMuchFraming},
		"of moderate length": {strings.Repeat("1\r\nx\r\n", fits) + "0\r\n\r\n", nil},
		"small chunks":       {strings.Repeat("6\r\nxxxxxx\r\n", 500_000) + "0\r\n\r\n", nil},
	} {
		e := &platformtest.Endless{Prefix: chunkHead + c.body, Repeat: "\x00", Pause: 100 * time.Millisecond}
		client := New(Config{Addr: startEndless(t, e), MaxBody: 32 << 20})
		call, sent, err := do(client, 20*time.Second)
		if !sent || !errors.Is(err, c.want) {
			t.Errorf("%s: sent %v, error %v, want %v", name, sent, err, c.want)
		}
		if n := len(call.Response.Body()); err == nil && n < fits {
			t.Errorf("%s: %d bytes", name, n)
		}
		call.Release()
		client.Close()
	}
}

// After a target has sent bytes beyond a response, the next requests must not use connections
// on which such bytes may be on their way: the outcome of those requests would be unknown.
func TestConnectionsSettleAfterSurplusBytes(t *testing.T) {
	c := New(Config{Addr: startSurplus(t, 5*time.Millisecond), MaxConns: 4})
	defer c.Close()
	if call, _, err := do(c, time.Second); err != nil {
		t.Fatalf("first request: %v", err)
	} else {
		call.Release()
	}
	time.Sleep(2 * settleTime) // until bytes beyond the response have arrived
	for i := range 50 {
		call, _, err := do(c, time.Second)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		call.Release()
		time.Sleep(time.Duration(i%10) * time.Millisecond)
	}
}

// startSurplus starts a server that answers one request a connection and sends further bytes
// after a pause.
func startSurplus(t *testing.T, pause time.Duration) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() }) // the test has ended
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				time.Sleep(pause)
				_, _ = io.WriteString(conn, "xxxx") // the client may have closed the connection
			}()
		}
	}()
	return l.Addr().String()
}

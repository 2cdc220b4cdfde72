package callerhttp

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/connprobe"
	"github.com/parsleystack/parsleystack/recvlimit"
)

// BenchmarkKeptConnection is the common case, one request at a time on a kept connection, beside
// the same on fasthttp.Server.
func BenchmarkKeptConnection(b *testing.B) {
	b.Run("callerhttp", func(b *testing.B) {
		h := &benchHandler{}
		config := testConfig()
		config.Memory = recvlimit.NewPool(64 << 20)
		_, addr := start(b, config, h)
		benchmark(b, addr)
	})
	b.Run("fasthttp", func(b *testing.B) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		s := &fasthttp.Server{
			Handler: func(ctx *fasthttp.RequestCtx) {
				// A handler must find out when the request arrived, which callerhttp does itself.
				_ = clock.Now()
				_, _ = connprobe.SinceReceived(ctx.Conn())
				ctx.SetBodyString("answer")
			},
			ReadBufferSize: 32 << 10,
			ReadTimeout:    testConfig().ReadTimeout, IdleTimeout: testConfig().IdleTimeout, Logger: discardLogger{},
		}
		go func() { _ = s.Serve(l) }() // until the listener is closed
		b.Cleanup(func() { _ = l.Close() })
		benchmark(b, l.Addr().String())
	})
}

func benchmark(b *testing.B, addr string) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = c.Close() }() // the benchmark ends
	request, response := []byte(get("/now/a")), make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Write(request); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadAtLeast(c, response, 40); err != nil {
			b.Fatal(err)
		}
	}
}

// benchHandler answers all requests in the same way.
type benchHandler struct{ fakeHandler }

func (h *benchHandler) Prepare(x *Exchange) Work {
	return &benchWork{fakeWork{x: x, deadline: 1 << 62}}
}

func (h *benchHandler) TurnAwaited(time.Duration) {}

type benchWork struct{ fakeWork }

func (w *benchWork) Idempotent() bool { return true }
func (w *benchWork) Serve()           { w.x.Ctx.SetBodyString("answer") }

package callerhttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/parsleystack/parsleystack/callerhttp"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/pipeline"
)

// slowFirst answers with the path, and to /slow only after all others.
type slowFirst struct{ others chan struct{} }

func (h slowFirst) Prepare(x *callerhttp.Exchange) callerhttp.Work { return work{h, x} }
func (slowFirst) ReadError(x *callerhttp.Exchange, _ error)        { x.Ctx.Error("", http.StatusBadRequest) }
func (slowFirst) TurnAwaited(time.Duration)                        {}

type work struct {
	h slowFirst
	x *callerhttp.Exchange
}

func (work) Idempotent() bool     { return true }
func (work) Deadline() clock.Time { return clock.Now().Add(time.Minute) }
func (work) Refuse()              {}
func (work) Discard()             {}
func (work) Cancel()              {}
func (work) Release()             {}

func (w work) Serve() {
	path := string(w.x.Ctx.Path())
	if path == "/slow" {
		<-w.h.others
	} else {
		close(w.h.others)
	}
	w.x.Ctx.SetBodyString(path)
}

// Two requests are sent at once. The first ends after the second, and is answered before it.
func Example() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	s := callerhttp.NewServer(callerhttp.Config{
		MaxHeader: 8 << 10, MaxBody: func() int { return 1 << 20 }, Window: pipeline.Limits{Requests: 8, Bytes: 1 << 20},
		ReadTimeout: time.Minute, IdleTimeout: time.Minute, WriteTimeout: time.Minute,
	}, slowFirst{make(chan struct{})})
	go func() { _ = s.Serve(l) }() // until it is shut down
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		fmt.Println(err)
		return
	}
	_, _ = io.WriteString(conn, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\nGET /fast HTTP/1.1\r\nHost: h\r\n\r\n")
	for r, i := bufio.NewReader(conn), 0; i < 2; i++ {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			fmt.Println(err)
			return
		}
		body, _ := io.ReadAll(resp.Body)
		fmt.Println(resp.StatusCode, string(body))
	}
	_ = conn.Close()
	fmt.Println(s.ShutdownWithContext(context.Background()))
	// Output:
	// 200 /slow
	// 200 /fast
	// <nil>
}

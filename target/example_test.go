package target_test

import (
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/target"
)

func Example() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		_ = fasthttp.Serve(l, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("hello " + string(ctx.Path())) })
	}()

	client := target.New(target.Config{Addr: l.Addr().String()})
	defer client.Close()
	call := target.Call{Request: &fasthttp.Request{}, Response: &fasthttp.Response{}, Deadline: time.Now().Add(10 * time.Second)}
	call.Request.Header.SetHost("reports")
	call.Request.Header.SetRequestURI("/via-roma-1")
	sent, err := client.Do(&call)
	fmt.Println(sent, err, string(call.Response.Body()))
	// Output: true <nil> hello /via-roma-1
}

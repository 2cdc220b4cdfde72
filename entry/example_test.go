package entry_test

import (
	"context"
	"fmt"
	"net"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/entry"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/route"
	"github.com/parsleystack/parsleystack/transport"
	"github.com/parsleystack/parsleystack/wire"
)

// Every answer states the outcome of the request.
func Example() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	self := ident.Node{Instance: "reports-1", Incarnation: 1}
	pool := transport.NewPool(transport.Config{Hello: wire.NewHello("reports", self, "z1")})
	defer pool.Close()
	gateway := entry.New(entry.Config{Self: self, Zone: "z1", Router: route.NewRouter(), Pool: pool})
	go func() { _ = gateway.Serve(listener) }()
	defer func() { _ = gateway.Shutdown(context.Background()) }()

	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + listener.Addr().String() + "/reports/via-roma-1")
	req.SetConnectionClose()
	if err := fasthttp.Do(req, resp); err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(resp.StatusCode())
	fmt.Printf("%s %s\n", resp.Header.Peek(entry.HeaderOutcome), resp.Header.Peek(entry.HeaderReason))
	// Output:
	// 503
	// not-run not-ready
}

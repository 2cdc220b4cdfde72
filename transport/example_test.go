package transport_test

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/transport"
	"github.com/parsleystack/parsleystack/wire"
)

// greeter answers every request with a greeting.
type greeter struct{}

func (greeter) ServeRequest(e *transport.Exchange) {
	body := append([]byte("hello "), e.Request.Body...)
	_ = e.Respond(&wire.Response{Kind: outcome.Done, Status: 200, Body: body})
}

func (greeter) ServeCellMessage(ident.Node, []byte) {}

func (greeter) ServeCall(context.Context, ident.Node, wire.CallKind, []byte) ([]byte, error) {
	return nil, nil
}

func Example() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	server := transport.NewServer(transport.Config{Hello: wire.NewHello("reports", ident.Node{Instance: "b"}, "z")}, greeter{}, nil)
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	pool := transport.NewPool(transport.Config{Hello: wire.NewHello("reports", ident.Node{Instance: "a"}, "z")})
	defer pool.Close()

	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var resp wire.Response
	sent, err := pool.Do(ctx, l.Addr().String(), &wire.Request{Body: []byte("world")}, &resp)
	fmt.Println(sent, err, resp.Kind, string(resp.Body))
	resp.Release()
	// Output: true <nil> done hello world
}

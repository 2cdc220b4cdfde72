package transport_test

import (
	"context"
	"fmt"
	"net"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/transport"
	"github.com/parsleystack/parsleystack/wire"
)

// greeter answers every request with its path.
type greeter struct{}

func (greeter) ServeRequest(e *transport.Exchange) {
	_ = e.Respond(&wire.Response{Kind: outcome.Done, Status: 200, Body: e.Request.URI})
}

func (greeter) ServeCellMessage(ident.Node, []byte) {}

func (greeter) ServeCall(context.Context, ident.Node, wire.CallKind, []byte) ([]byte, error) {
	return nil, nil
}

func hello(name ident.Instance) wire.Hello {
	return wire.NewHello("reports", ident.Node{Instance: name, Incarnation: 1}, "z1")
}

func Example() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	server := transport.NewServer(transport.Config{Hello: hello("reports-1")}, greeter{}, nil)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()

	pool := transport.NewPool(transport.Config{Hello: hello("reports-2")})
	defer pool.Close()
	var resp wire.Response
	sent, err := pool.Do(context.Background(), listener.Addr().String(), &wire.Request{URI: []byte("/k1")}, &resp)
	fmt.Println(sent, err, resp.Kind, string(resp.Body))
	resp.Release()
	// Output:
	// true <nil> done /k1
}

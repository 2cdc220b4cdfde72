package owner_test

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/lease"
	"github.com/parsleystack/parsleystack/owner"
	"github.com/parsleystack/parsleystack/service"
	"github.com/parsleystack/parsleystack/target"
	"github.com/parsleystack/parsleystack/transport"
	"github.com/parsleystack/parsleystack/wire"
)

// handler is a transport.Handler that serves requests only.
type handler struct{ *owner.Owner }

func (handler) ServeCellMessage(ident.Node, []byte) {}

func (handler) ServeCall(context.Context, ident.Node, wire.CallKind, []byte) ([]byte, error) {
	return nil, nil
}

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return l
}

func Example() {
	backend := listen()
	defer func() { _ = backend.Close() }()
	go func() {
		_ = fasthttp.Serve(backend, func(ctx *fasthttp.RequestCtx) {
			ctx.SetBody(ctx.Request.Header.Peek(target.HeaderToken))
		})
	}()

	node := ident.Node{Instance: "reports-1", Incarnation: 1}
	leases := lease.NewTable(clock.Now)
	leases.Store([]cell.Holding{{
		Grant:   cell.Grant{Range: keyspace.Full(), Owner: node, Token: cell.Token{Term: 17, Seq: 4}},
		Expires: clock.Now().Add(time.Minute),
	}})
	o := owner.New(owner.Config{Service: "reports", Leases: leases, Target: target.New(target.Config{Addr: backend.Addr().String()})})
	o.SetSpec(1, service.Spec{Name: "reports", Slots: 20, Fenced: true})

	l := listen()
	hello := wire.NewHello("reports", node, "lombardy-a")
	server := transport.NewServer(transport.Config{Hello: hello}, handler{o}, nil)
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	pool := transport.NewPool(transport.Config{Hello: hello})
	defer pool.Close()

	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req := wire.Request{Service: "reports", Keyed: true, Point: 42, ConfigOffset: 1, Timeout: 5 * time.Second, Method: []byte("GET"), URI: []byte("/")}
	var resp wire.Response
	_, err := pool.Do(ctx, l.Addr().String(), &req, &resp)
	fmt.Println(err, resp.Kind, string(resp.Body))
	// Output: <nil> done 17.4
}

package owner_test

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/lease"
	"github.com/parsleystack/parsleystack/owner"
	"github.com/parsleystack/parsleystack/service"
	"github.com/parsleystack/parsleystack/target"
	"github.com/parsleystack/parsleystack/transport"
	"github.com/parsleystack/parsleystack/wire"
)

// handler joins an Owner with the parts of a daemon that the example lacks.
type handler struct{ *owner.Owner }

func (handler) ServeCellMessage(ident.Node, []byte) {}

func (handler) ServeCall(context.Context, ident.Node, wire.CallKind, []byte) ([]byte, error) {
	return nil, nil
}

func hello(name ident.Instance) wire.Hello {
	return wire.NewHello("reports", ident.Node{Instance: name, Incarnation: 1}, "z1")
}

// A daemon that holds no lease refuses a request and says that it was not run.
func Example() {
	client := target.New(target.Config{Addr: "127.0.0.1:1"})
	defer client.Close()
	o := owner.New(owner.Config{Service: "reports", Leases: lease.NewTable(clock.Now), Target: client})
	o.SetSpec(1, service.Spec{Name: "reports", Key: service.KeyRule{Source: service.KeyPathSegment}, Slots: 1, Conns: 1})

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	server := transport.NewServer(transport.Config{Hello: hello("reports-1")}, handler{o}, nil)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	pool := transport.NewPool(transport.Config{Hello: hello("reports-2")})
	defer pool.Close()

	request := wire.Request{
		Service:      "reports",
		Keyed:        true,
		ConfigOffset: 1,
		Timeout:      time.Minute,
		Method:       []byte("GET"),
		URI:          []byte("/via-roma-1"),
	}
	var resp wire.Response
	_, err = pool.Do(context.Background(), listener.Addr().String(), &request, &resp)
	fmt.Println(err, resp.Kind, resp.Reason)
	resp.Release()
	// Output:
	// <nil> not-run wrong-owner
}

package transport

import (
	"net"
	"testing"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/wire"
)

// endpoint is a daemon that dials its peers and accepts connections from them.
type endpoint struct {
	node      ident.Node
	addr      string
	handler   *echo
	pool      *Pool
	server    *Server
	messenger *Messenger
}

func startEndpoint(t *testing.T, name string) *endpoint {
	t.Helper()
	e := &endpoint{node: ident.Node{Instance: ident.Instance(name), Incarnation: 1}, handler: &echo{messages: make(chan string, 8)}}
	cfg := Config{Hello: wire.NewHello("reports", e.node, "z")}
	e.pool = NewPool(cfg)
	e.server = NewServer(cfg, e.handler, nil)
	e.messenger = NewMessenger(e.node, e.pool, e.server, e.handler)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e.addr = l.Addr().String()
	go func() { _ = e.server.Serve(l) }()
	t.Cleanup(e.pool.Close)
	t.Cleanup(e.server.Close)
	return e
}

func (e *endpoint) send(to *endpoint, body string) string {
	e.messenger.Send(to.node, to.addr, []byte(body))
	return <-to.handler.messages
}

func TestMessagesInBothDirectionsShareOneConnection(t *testing.T) {
	for _, names := range [][2]string{{"a", "b"}, {"b", "a"}} {
		dialer, acceptor := startEndpoint(t, names[0]), startEndpoint(t, names[1])
		for range 3 {
			if got, want := dialer.send(acceptor, "renew"), dialer.node.String()+" renew"; got != want {
				t.Fatalf("message %q, want %q", got, want)
			}
			if got, want := acceptor.send(dialer, "lease"), acceptor.node.String()+" lease"; got != want {
				t.Fatalf("message %q, want %q", got, want)
			}
		}
		if n := acceptor.pool.Counters().Dials.Load(); n != 0 {
			t.Errorf("%s dialed %d times although %s has a connection open", names[1], n, names[0])
		}
	}
}

func TestMessagesForAnEarlierIncarnationAreNotSent(t *testing.T) {
	dialer, acceptor := startEndpoint(t, "a"), startEndpoint(t, "b")
	dialer.send(acceptor, "renew")
	earlier := ident.Node{Instance: "a", Incarnation: 0}
	if acceptor.server.sendIfConnected(earlier, []byte("lease")) {
		t.Error("a message for another incarnation was sent on the connection")
	}
}

package link

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/wire"
)

const stallWindow = 50 * time.Millisecond // time in which no data may arrive on a stalled link

// echo starts a server that returns all data it receives and returns its
// address.
func echo(t *testing.T) string {
	t.Helper()
	l := listen(t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// start runs a network with one route to b.
func start(t *testing.T) (*Network, string) {
	t.Helper()
	probe := listen(t)
	addr := probe.Addr().String()
	_ = probe.Close()
	n := New([]Route{{Instance: "b", Listen: addr, Forward: echo(t)}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return n, addr
}

// open connects as instance a and returns the connection once the Hello has
// been echoed.
func open(t *testing.T, addr string) net.Conn {
	t.Helper()
	var conn net.Conn
	var err error
	for range 100 {
		if conn, err = net.Dial("tcp", addr); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	hello := wire.NewHello("reports", ident.Node{Instance: "a", Incarnation: 1}, "zone")
	b, err := wire.Append(nil, wire.KindHello, 0, &hello, wire.MaxHello)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.Write(b); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(conn, make([]byte, len(b))); err != nil {
		t.Fatal(err)
	}
	return conn
}

func exchange(conn net.Conn, wait time.Duration) error {
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func TestStalledDataArrivesWhenTheCutEnds(t *testing.T) {
	for _, cut := range []Cut{{From: "a", To: Any}, {From: "b", To: "a"}} {
		n, addr := start(t)
		conn := open(t, addr)
		n.Set(Control{Cuts: []Cut{cut}})
		if err := exchange(conn, stallWindow); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("%+v: read on a cut link returned %v, want a timeout", cut, err)
		}
		n.Set(Control{})
		_ = conn.SetReadDeadline(time.Time{})
		if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
			t.Fatalf("%+v: data did not arrive: %v", cut, err)
		}
	}
}

func TestCutsOfOthersPass(t *testing.T) {
	n, addr := start(t)
	conn := open(t, addr)
	n.Set(Control{Cuts: []Cut{{From: "c", To: Any}, {From: Any, To: "c"}}})
	if err := exchange(conn, time.Minute); err != nil {
		t.Fatal(err)
	}
}

func TestResetClosesConnections(t *testing.T) {
	n, addr := start(t)
	conn := open(t, addr)
	n.Set(Control{Cuts: []Cut{{From: "a", To: "b", Reset: true}}})
	if _, err := conn.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("connection was not closed: %v", err)
	}
}

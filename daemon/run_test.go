package daemon

import (
	"context"
	"net"
	"testing"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/settings"
)

// A daemon that can't open one of its addresses leaves none of them open: a
// caller that connects to a daemon that has ended would wait for an answer.
func TestRunClosesItsAddressesWhenOneIsTaken(t *testing.T) {
	taken := listenLoopback(t)
	defer func() { _ = taken.Close() }()
	// No other process takes ports of this loopback address.
	callers, err := net.Listen("tcp", "127.91.7.3:0")
	if err != nil {
		t.Fatal(err)
	}
	s := settings.Defaults()
	s.Instance, s.Service = "reports-0", "reports"
	s.Listen = settings.Listen{Callers: callers.Addr().String(), Daemons: taken.Addr().String(), Admin: "127.0.0.1:0"}
	s.TLS.Insecure = true
	if err := callers.Close(); err != nil {
		t.Fatal(err)
	}
	if err := New(s, nil, zap.NewNop()).Run(context.Background()); err == nil {
		t.Fatal("Run reports no error for an address that is taken")
	}
	again, err := net.Listen("tcp", s.Listen.Callers)
	if err != nil {
		t.Fatalf("the callers' address is still open: %v", err)
	}
	_ = again.Close()
}

package daemon

import (
	"context"
	"net"
	"testing"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/settings"
)

// Run must close the addresses that it has opened if it can't open another one.
// Otherwise a caller could connect to a daemon that does not serve and would
// wait for a response.
func TestRunClosesItsAddressesWhenOneIsTaken(t *testing.T) {
	taken := listenLoopback(t)
	defer func() { _ = taken.Close() }()
	// Other processes do not use this loopback address, so that the port stays
	// free after it is closed.
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
		t.Fatal("Run returned no error for an address that is already in use")
	}
	again, err := net.Listen("tcp", s.Listen.Callers)
	if err != nil {
		t.Fatalf("the callers' address is still open: %v", err)
	}
	_ = again.Close()
}

package sidecar

import (
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/clock"
)

// Connections whose next request has always arrived must not keep the heartbeats of the target out,
// which come on new connections then.
func TestServedConnectionsGiveWayToNewOnes(t *testing.T) {
	now := clock.Time(1 << 50)
	l := newConnLimiter(2)
	conns := make([]net.Conn, 4)
	for i := range conns {
		conn, other := net.Pipe()
		t.Cleanup(func() { _ = other.Close() })
		conns[i] = conn
	}
	isOpen := func(i int) bool { _, open := l.conns[conns[i]]; return open }
	for _, c := range conns[:2] {
		l.record(c, fasthttp.StateNew, now)
		l.record(c, fasthttp.StateActive, now)
	}
	l.record(conns[1], fasthttp.StateIdle, now)
	l.record(conns[1], fasthttp.StateActive, now)
	if closed := l.record(conns[2], fasthttp.StateNew, now); !closed || !isOpen(0) || isOpen(1) || !isOpen(2) {
		t.Errorf("open: %v, %v, %v; want the connection that was served to give way", isOpen(0), isOpen(1), isOpen(2))
	}
	l.record(conns[2], fasthttp.StateActive, now)
	if closed := l.record(conns[3], fasthttp.StateNew, now.Add(activeTime-time.Millisecond)); closed {
		t.Error("a connection was closed within its first request")
	}
}

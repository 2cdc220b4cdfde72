package sidecar

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// A request that never ends, at the addresses for heartbeats, readiness checks and
// metrics, must not hold its connection, and others must be answered meanwhile.
func TestEndlessRequestsAreEnded(t *testing.T) {
	t.Parallel()
	d := deploy(t, plainService)
	n := d.nodes[0]
	n.awaitUnkeyedServing(t)
	for _, addr := range []string{n.settings.ControlAddr, n.settings.ReadyAddr, n.settings.MetricsAddr} {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		eventually(t, "the connection to "+addr+" is closed", func() bool {
			_, err := conn.Write([]byte("P"))
			_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
			_, readErr := conn.Read(make([]byte, 1))
			timeout, ok := readErr.(net.Error)
			return err != nil || readErr != nil && (!ok || !timeout.Timeout())
		})
		if a := n.call(http.MethodPost, "/book/a", newID(), platformtest.NoKey); a.Status != http.StatusOK {
			t.Errorf("a request beside the endless one gets status %d, error %v", a.Status, a.Err)
		}
	}
}

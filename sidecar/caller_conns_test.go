package sidecar

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// Connections of callers took all descriptors: the daemon could reach neither its target nor
// others, and ended by itself at the next one. Those beyond its share get 503.
func TestCallersLeaveDescriptorsForTheDaemon(t *testing.T) {
	t.Parallel()
	const files = 512
	d := deployWith(t, func(n *testNode) { n.settings.MaxFiles = files }, plainService, plainService)
	for _, n := range d.nodes {
		n.awaitUnkeyedServing(t)
	}
	n := d.nodes[0]
	var kept []net.Conn
	t.Cleanup(func() {
		for _, c := range kept {
			_ = c.Close()
		}
	})
	for range maxCallerConns(files) {
		c, err := net.Dial("tcp", n.settings.CallerAddr)
		if err != nil {
			t.Fatal(err)
		}
		kept = append(kept, c)
	}
	eventually(t, "further callers get 503", func() bool {
		status, _, err := platformtest.RawCall(n.settings.CallerAddr, head(http.MethodPost, "/book/a", "Content-Length: 0\r\n"))
		return err == nil && status == http.StatusServiceUnavailable
	})
	request := head(http.MethodPost, "/book/a", "Content-Length: 0\r\nConnection: close\r\n")
	if _, err := kept[0].Write([]byte(request)); err != nil {
		t.Fatal(err)
	}
	_ = kept[0].SetReadDeadline(time.Now().Add(5 * time.Second))
	status := make([]byte, len("HTTP/1.1 200"))
	if _, err := kept[0].Read(status); err != nil || string(status) != "HTTP/1.1 200" {
		t.Errorf("a request on an open connection gets %q, %v", status, err)
	}
	for _, c := range kept[1:] {
		_ = c.Close()
	}
	n.awaitUnkeyedServing(t)
}

package sidecar

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// Connections of callers took all descriptors: the daemon could reach neither its target nor
// others, and ended by itself at the next one. Further callers take the places of idle ones.
func TestCallersLeaveDescriptorsForTheDaemon(t *testing.T) {
	t.Parallel()
	const files = 512
	d := deployWith(t, func(n *testNode) { n.settings.MaxFiles = files }, plainService, plainService)
	for _, n := range d.nodes {
		n.awaitUnkeyedServing(t)
	}
	n := d.nodes[0]
	limit := maxCallerConns(files, 0)
	var kept []net.Conn
	t.Cleanup(func() {
		for _, c := range kept {
			_ = c.Close()
		}
	})
	request := head(http.MethodPost, "/book/a", "Content-Length: 0\r\n")
	for range 2 * limit {
		c, err := net.Dial("tcp", n.settings.CallerAddr)
		if err != nil {
			t.Fatal(err)
		}
		kept = append(kept, c)
		if status := exchange(t, c, request); status != http.StatusOK {
			t.Fatalf("a request on a new connection gets %d, beside %d others", status, len(kept)-1)
		}
		if open := n.daemon.ingress.server.GetOpenConnectionsCount(); open > limit {
			t.Fatalf("%d connections are open, want at most %d", open, limit)
		}
	}
	if status := exchange(t, kept[len(kept)-limit/2], head(http.MethodPost, "/book/a", "Content-Length: 0\r\nConnection: close\r\n")); status != http.StatusOK {
		t.Errorf("a request on a connection that was used lately gets %d", status)
	}
	for _, c := range kept {
		_ = c.Close()
	}
	n.awaitUnkeyedServing(t)
}

// exchange sends a request on a connection and returns the status of the response.
func exchange(t *testing.T, c net.Conn, request string) int {
	t.Helper()
	if _, err := c.Write([]byte(request)); err != nil {
		t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Error(err)
	}
	return resp.StatusCode
}

// Connections that send nothing must take no more descriptors than those share, and must not
// keep other callers out.
func TestSilentCallersLeaveDescriptorsAndServiceToOthers(t *testing.T) {
	t.Parallel()
	const files = 512
	d := deployWith(t, func(n *testNode) { n.settings.MaxFiles = files }, plainService, plainService)
	for _, n := range d.nodes {
		n.awaitUnkeyedServing(t)
	}
	n := d.nodes[0]
	limit := maxCallerConns(files, 0)
	for range 2 * limit {
		c, err := net.Dial("tcp", n.settings.CallerAddr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() }) // the daemon may have closed it
		if open := n.daemon.ingress.server.GetOpenConnectionsCount(); open > limit {
			t.Fatalf("%d connections are open, want at most %d", open, limit)
		}
	}
	n.awaitUnkeyedServing(t)
}

// A caller that is refused because all connections carry requests must learn when to return.
func TestRefusedConnectionNamesTheTimeOfARetry(t *testing.T) {
	t.Parallel()
	d := deploy(t, plainService)
	n := d.nodes[0]
	n.awaitUnkeyedServing(t)
	if err := n.target.Behave(platformtest.Behavior{Delay: 5 * time.Second}); err != nil {
		t.Fatal(err)
	}
	busy, err := net.Dial("tcp", n.settings.CallerAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = busy.Close() }) // the test has ended
	request := head(http.MethodPost, "/book/a", "Content-Length: 0\r\n")
	if _, err := busy.Write([]byte(request)); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the request is in progress", func() bool { return n.daemon.ingress.inFlight() > 0 })
	var header http.Header
	eventually(t, "a connection is refused", func() bool {
		n.daemon.ingress.server.SetMaxConns(1) // until the daemon sets it the next time
		var status int
		status, header = n.rawCall(t, request)
		return status == http.StatusServiceUnavailable && header.Get("Request-Id") == ""
	})
	if header.Get("Retry-After") == "" {
		t.Error("the response names no time for a retry")
	}
}

package memorytest

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// Connections to the addresses for heartbeats, readiness checks and metrics that were served
// and stay open, idle or within a further request, must not keep others out.
func TestIdleConnectionsToServers(t *testing.T) {
	const conns = 1200
	request := platformtest.Head(host, http.MethodGet, "/", newID(), "")
	for name, piece := range map[string]string{"idle": "", "head": request[:len(request)-2]} {
		t.Run(name, func(t *testing.T) {
			f := start(t, memoryMB, maxBodyBytes)
			n := f.nodes[0]
			addrs := []string{n.addr(controlPort), n.addr(readyPort)}
			crowdAt(t, addrs, conns, func(_ int, conn net.Conn) {
				if write(conn, []byte(request), 1, 0) {
					_, _ = conn.Read(make([]byte, 512)) // the daemon may close the connection
					write(conn, []byte(piece), 1, 0)
				}
			})
			await(t, "a heartbeat is acknowledged", n.target.SendHeartbeat)
			await(t, "a readiness check is answered", n.checkReady)
			f.awaitServed(n, localPath)
		})
	}
}

// Requests for metrics whose responses are not read must not fill the memory, nor keep others out.
func TestMetricsThatAreNotRead(t *testing.T) {
	const conns, requests = 600, 400
	f := startOn(t, oneCore, memoryMB, maxBodyBytes)
	n := f.nodes[0]
	request := []byte(platformtest.Head(host, http.MethodGet, "/metrics", newID(), ""))
	crowd(t, n.addr(lastLinkPort), conns, func(_ int, conn net.Conn) { write(conn, bytes.Repeat(request, requests), 1, 0) })
	await(t, "metrics are read", func() error {
		status, _, err := platformtest.RawCall(n.addr(lastLinkPort), string(request))
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("status %d", status)
		}
		return err
	})
	f.awaitServed(n, localPath)
}

// checkReady sends a readiness check. It fails if the daemon is not ready.
func (n *node) checkReady() error {
	status, _, err := platformtest.RawCall(n.addr(readyPort), platformtest.Head(host, http.MethodGet, platform.ReadyPath, newID(), ""))
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return err
}

// await waits until try succeeds.
func await(t *testing.T, what string, try func() error) {
	t.Helper()
	err := try()
	for end := time.Now().Add(readyWait); err != nil; err = try() {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v: %v", what, readyWait, err)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Crowds at all ports together must leave descriptors for the daemon itself.
func TestDescriptorsWithCrowdsAtAllPorts(t *testing.T) {
	const callers, others = 3800, 1200
	f := start(t, 284, maxBodyBytes)
	n := f.nodes[0]
	idle := func(request string) member {
		return func(_ int, conn net.Conn) {
			if write(conn, []byte(request), 1, 0) {
				_, _ = conn.Read(make([]byte, 512)) // the daemon may close the connection
			}
		}
	}
	crowd(t, n.addr(callerPort), callers, idle(string(headOf(localPath, "Content-Length: 0\r\n"))))
	crowdAt(t, []string{n.addr(controlPort), n.addr(readyPort), n.addr(lastLinkPort)}, others, idle(platformtest.Head(host, http.MethodGet, "/", newID(), "")))
	f.awaitServed(n, localPath)
	f.awaitServed(n, remotePath)
	await(t, "a heartbeat is acknowledged", n.target.SendHeartbeat)
}

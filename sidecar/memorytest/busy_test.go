package memorytest

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/platform/platformtest"
)

const (
	// busyCrowd is the number of connections to each daemon that send as fast as they can.
	busyCrowd = 400
	// waitingCrowd is more than may wait to be accepted.
	waitingCrowd = 1600
	// busyTime is how long they do so before an ordinary request must be answered.
	busyTime = 5 * time.Second
)

// Callers that always have more to be read must leave the processor to the requests of others, and
// to the daemons themselves.
func TestCallersThatNeverPause(t *testing.T) {
	for name, requests := range map[string][]byte{
		"connections without requests": nil,
		"invalid heads":                []byte("GET\r\n\r\n"),
		"refused requests":             bytes.Repeat(headOf("/unknown/", ""), 100),
		"short requests":               bytes.Repeat(headOf(localPath, "Content-Length: 0\r\n"), 100),
		"requests through a link":      bytes.Repeat(headOf(remotePath, "Content-Length: 0\r\n"), 100),
		"large bodies":                 append(headOf(localPath, fmt.Sprintf("Content-Length: %d\r\n", 1<<20)), filler[:1<<20]...),
		"small chunks":                 append(headOf(localPath, chunkedLine), bytes.Repeat([]byte("1\r\nx\r\n"), 1<<20)...),
		"bodies over the limit":        append(headOf(localPath, "Content-Length: 99999999999999\r\n"), filler...),
	} {
		t.Run(name, func(t *testing.T) { neverPause(t, callerPort, busyCrowd, requests) })
	}
}

// The same at the ports for heartbeats, readiness checks, metrics and links.
func TestConnectionsToServersThatNeverPause(t *testing.T) {
	for name, c := range map[string]struct {
		port     int
		requests []byte
	}{
		"heartbeats":       {controlPort, bytes.Repeat([]byte(platformtest.Head(host, http.MethodPut, "/", newID(), "Content-Length: 2\r\n")+"{}"), 100)},
		"readiness checks": {readyPort, bytes.Repeat([]byte(platformtest.Head(host, http.MethodGet, platform.ReadyPath, newID(), "")), 100)},
		"metrics":          {lastLinkPort, bytes.Repeat([]byte(platformtest.Head(host, http.MethodGet, "/metrics", newID(), "")), 100)},
		"links":            {firstLinkPort, filler},
	} {
		t.Run(name, func(t *testing.T) { neverPause(t, c.port, busyCrowd, c.requests) })
	}
}

// Bytes on connections to the port for links that wait to be accepted must not make the daemon exceed
// its memory.
func TestManyConnectionsToLinksThatNeverPause(t *testing.T) {
	neverPause(t, firstLinkPort, waitingCrowd, filler)
}

// neverPause lets a crowd of size connections to each daemon send requests to a port without a pause. Meanwhile all
// must serve requests, heartbeats and readiness checks.
func neverPause(t *testing.T, port, size int, requests []byte) {
	f := startOn(t, oneCore, memoryMB, maxBodyBytes)
	done := make(chan struct{})
	var all sync.WaitGroup
	for _, n := range f.nodes {
		for range size {
			all.Go(func() { sendAgain(n.addr(port), requests, done) })
		}
	}
	t.Cleanup(func() {
		close(done)
		all.Wait()
	})
	time.Sleep(busyTime)
	for _, n := range f.nodes {
		f.awaitServed(n, localPath)
		f.awaitServed(n, remotePath)
		await(t, "a heartbeat is acknowledged", n.target.SendHeartbeat)
		await(t, "a readiness check is answered", n.checkReady)
	}
}

// sendAgain opens a connection, sends requests and reads what comes, again and again until done is
// closed. A connection that stays open is used again.
func sendAgain(addr string, requests []byte, done <-chan struct{}) {
	b := make([]byte, 32<<10)
	for {
		select {
		case <-done:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			continue // the daemon does not take it
		}
		for len(requests) > 0 && err == nil {
			select {
			case <-done:
				_ = conn.Close() // the test has ended
				return
			default:
			}
			if err = conn.SetDeadline(time.Now().Add(time.Second)); err == nil {
				if _, err = conn.Write(requests); err == nil {
					_, err = conn.Read(b)
				}
			}
		}
		_ = conn.Close() // the daemon may have closed it
	}
}

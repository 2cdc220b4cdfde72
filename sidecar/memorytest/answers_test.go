package memorytest

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// Callers of both daemons that ask for large responses at the same time, and read them slowly
// or not at all. Ordinary requests on the same links must be answered.
func TestLargeResponsesAtAllDaemons(t *testing.T) {
	for _, limit := range []struct{ memory, response int }{{memoryMB, 10 << 20}, {184, 30 << 20}, {284, 30 << 20}} {
		for _, c := range []cores{allCores, oneCore} {
			t.Run(fmt.Sprintf("%d MB, %v", limit.memory, c), func(t *testing.T) {
				f := startOn(t, c, limit.memory, maxBodyBytes)
				largeResponses(t, f, limit.response)
				for _, n := range f.nodes {
					f.awaitServed(n, localPath)
					f.awaitServed(n, remotePath)
				}
			})
		}
	}
}

// largeResponses lets a crowd ask all daemons for responses of a size.
func largeResponses(t *testing.T, f *fleet, size int) {
	const callers, requests = 120, 4
	addrs := []string{f.nodes[0].addr(callerPort), f.nodes[1].addr(callerPort)}
	crowdAt(t, addrs, callers, func(i int, conn net.Conn) {
		for range requests {
			if !write(conn, headOf(fmt.Sprintf("%s%d", answersPath, size), "Content-Length: 0\r\n"), 1, 0) {
				return
			}
			if i/len(addrs)%2 == 0 {
				readSlowly(conn, size/4)
			}
		}
	})
}

// readSlowly reads some bytes of a response.
func readSlowly(conn net.Conn, bytes int) {
	const step = 64 << 10
	for range bytes / step {
		if _, err := io.CopyN(io.Discard, conn, step); err != nil {
			return // the daemon may close the connection
		}
		time.Sleep(time.Millisecond)
	}
}

// Connections with a full window of requests, whose responses wait for the first of them.
func TestResponsesBehindASlowOne(t *testing.T) {
	const callers, behind = 900, 15
	callerCrowd(t, callers, func(_ int, conn net.Conn) {
		if !write(conn, headOf(viewsPath+slowPath, "Content-Length: 0\r\n"), 1, 0) {
			return
		}
		write(conn, headOf(viewsPath+"16384", "Content-Length: 0\r\n"), behind, 0)
	})
}

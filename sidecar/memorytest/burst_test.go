package memorytest

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

// burstTime is how long the members of a burst begin again on new connections.
const burstTime = 6 * time.Second

// A crowd that opens its connections, sends all at the same moment and stops one byte short of
// the end must not make a daemon exceed its memory, nor what comes after it on new connections.
func TestBodiesAtTheSameMoment(t *testing.T) {
	for _, memory := range []int{memoryMB, 184, 284} {
		for _, size := range []int{60 << 10, 1 << 20} {
			for _, c := range []cores{allCores, oneCore} {
				t.Run(fmt.Sprintf("%d MB, %d KB, %v", memory, size>>10, c), func(t *testing.T) {
					f := startOn(t, c, memory, maxBodyBytes)
					burst(t, f.nodes[:1], append(headOf(localPath, fmt.Sprintf("Content-Length: %d\r\n", size)), filler[:size-1]...))
					f.awaitServed(f.nodes[0], localPath)
					f.awaitServed(f.nodes[0], remotePath)
				})
			}
		}
	}
}

// The same at both daemons at a time, in forms that take more to receive or to refuse.
func TestRequestsAtTheSameMomentAtAllDaemons(t *testing.T) {
	const size = 1 << 20
	body := filler[:size-1]
	for name, request := range map[string][]byte{
		"large chunk":        append(fmt.Appendf(headOf(localPath, chunkedLine), "%x\r\n", size), body...),
		"small chunks":       append(headOf(localPath, chunkedLine), bytes.Repeat([]byte("1\r\nx\r\n"), size/6)...),
		"far over the limit": append(headOf(localPath, "Content-Length: 99999999999999\r\n"), body...),
		"small fields":       headOf(localPath, strings.Repeat("A:\r\n", 7000)+"Content-Length: 9\r\n"),
		"nothing":            nil,
		"whole and slow":     append(headOf(localPath+slowPath, fmt.Sprintf("Content-Length: %d\r\n", 60<<10)), filler[:60<<10]...),
		"to the other":       append(headOf(remotePath, fmt.Sprintf("Content-Length: %d\r\n", size)), filler[:size]...),
	} {
		t.Run(name, func(t *testing.T) {
			f := startOn(t, oneCore, memoryMB, maxBodyBytes)
			burst(t, f.nodes[:], request)
			for _, n := range f.nodes {
				f.awaitServed(n, localPath)
				f.awaitServed(n, remotePath)
			}
		})
	}
}

// burst opens the connections of a crowd to daemons and lets all members send a request at once. A
// member whose connection was closed opens another one, until burstTime has passed.
func burst(t *testing.T, nodes []*node, request []byte) {
	t.Helper()
	var opened, all sync.WaitGroup
	begin, done := make(chan struct{}), make(chan struct{})
	opened.Add(headCrowd)
	for i := range headCrowd {
		addr := nodes[i%len(nodes)].addr(callerPort)
		all.Go(func() {
			conn, err := net.DialTimeout("tcp", addr, dialTimeout)
			opened.Done()
			<-begin
			for end := time.Now().Add(burstTime); ; conn, err = net.DialTimeout("tcp", addr, time.Second) {
				if err == nil && holds(conn, request, end) {
					<-done
				}
				if err == nil {
					_ = conn.Close() // the daemon may have closed it
				}
				if !time.Now().Before(end) {
					return
				}
				time.Sleep(10 * time.Millisecond) // a connection may be refused at once
			}
		})
	}
	opened.Wait()
	close(begin)
	time.Sleep(burstTime + settleTime)
	t.Cleanup(func() {
		close(done)
		all.Wait()
	})
}

// holds sends a request without its end, and reports whether the connection is still open then or
// at a time.
func holds(conn net.Conn, request []byte, end time.Time) bool {
	if conn.SetDeadline(end) != nil {
		return false
	}
	for len(request) > 0 {
		n := min(len(request), pieceBytes)
		if _, err := conn.Write(request[:n]); err != nil {
			return !time.Now().Before(end)
		}
		request = request[n:]
	}
	_, err := conn.Read(make([]byte, 1))
	return err != nil && !time.Now().Before(end)
}

// Bodies at the same moment while large responses take the memory that their callers do not
// return.
func TestBodiesBesideLargeResponses(t *testing.T) {
	for _, limit := range []struct{ memory, response int }{{memoryMB, 10 << 20}, {284, 30 << 20}} {
		t.Run(fmt.Sprintf("%d MB", limit.memory), func(t *testing.T) {
			f := startOn(t, oneCore, limit.memory, maxBodyBytes)
			largeResponses(t, f, limit.response)
			burst(t, f.nodes[:], append(headOf(remotePath, fmt.Sprintf("Content-Length: %d\r\n", 1<<20)), filler[:1<<20-1]...))
			for _, n := range f.nodes {
				f.awaitServed(n, localPath)
				f.awaitServed(n, remotePath)
			}
		})
	}
}

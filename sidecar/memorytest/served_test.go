package memorytest

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// servedCrowd is more than the connections of callers that a daemon of memoryMB serves.
	servedCrowd = 1600
	// servedBody is the size of the bodies of its requests.
	servedBody = 2 << 10
	// servedAtOnce is the number of members that connect at a time.
	servedAtOnce = 40
	// trickleInterval is the time between two bytes of a member that sends slowly.
	trickleInterval = 200 * time.Millisecond
)

// servedMember is served a number of times on its connection, and then sends one more piece of
// a request and stops.
type servedMember struct {
	served   int
	piece    []byte
	trickles bool // it goes on, byte by byte
}

// A crowd whose members have been served before they stop within a further request, or send
// none, must not keep new callers out.
func TestConnectionsThatStopAfterTheyWereServed(t *testing.T) {
	whole := append(headOf(localPath, fmt.Sprintf("Content-Length: %d\r\n", servedBody)), filler[:servedBody]...)
	head := headOf(localPath, "Content-Length: 0\r\n")
	long := append(headOf(localPath, fmt.Sprintf("Content-Length: %d\r\n", maxBodyBytes)), filler[:servedBody]...)
	for name, m := range map[string]servedMember{
		"first body one byte short":  {piece: whole[:len(whole)-1]},
		"second body one byte short": {served: 1, piece: whole[:len(whole)-1]},
		"third body one byte short":  {served: 2, piece: whole[:len(whole)-1]},
		"second body in chunks":      {served: 1, piece: fmt.Appendf(headOf(localPath, chunkedLine), "%x\r\n%s\r\n", servedBody, filler[:servedBody])},
		"head of the second request": {served: 1, piece: head[:len(head)-2]},
		"idle after one answer":      {served: 1},
		"second body byte by byte":   {served: 1, piece: long, trickles: true},
	} {
		for _, c := range []cores{allCores, oneCore} {
			t.Run(fmt.Sprintf("%s, %v", name, c), func(t *testing.T) {
				f := startOn(t, c, memoryMB, maxBodyBytes)
				servedCrowdAt(t, f.nodes[0], m)
				f.awaitServed(f.nodes[0], localPath)
				f.awaitServed(f.nodes[0], remotePath)
				f.awaitServed(f.nodes[1], localPath)
			})
		}
	}
}

// The same at both daemons at a time.
func TestConnectionsThatStopAtAllDaemons(t *testing.T) {
	whole := append(headOf(localPath, fmt.Sprintf("Content-Length: %d\r\n", servedBody)), filler[:servedBody]...)
	f := startOn(t, oneCore, memoryMB, maxBodyBytes)
	var both sync.WaitGroup
	for _, n := range f.nodes {
		both.Go(func() { servedCrowdAt(t, n, servedMember{served: 1, piece: whole[:len(whole)-1]}) })
	}
	both.Wait()
	for _, n := range f.nodes {
		f.awaitServed(n, localPath)
		f.awaitServed(n, remotePath)
	}
}

// servedCrowdAt opens the connections of a crowd to a daemon, which stay open until the test
// ends. The daemon may close any of them at any time, and refuse members.
func servedCrowdAt(t *testing.T, n *node, m servedMember) {
	var next atomic.Int64
	var all sync.WaitGroup
	done := make(chan struct{})
	var trickles sync.WaitGroup
	t.Cleanup(func() {
		close(done)
		trickles.Wait()
	})
	for range servedAtOnce {
		all.Go(func() {
			for next.Add(1) <= servedCrowd {
				conn, err := net.DialTimeout("tcp", n.addr(callerPort), dialTimeout)
				if err != nil {
					continue // the daemon does not take it
				}
				t.Cleanup(func() { _ = conn.Close() }) // the test has ended
				if conn.SetDeadline(time.Now().Add(sendTimeout)) != nil || !m.send(conn) || !m.trickles {
					continue
				}
				trickles.Go(func() { trickle(conn, done) })
			}
		})
	}
	all.Wait()
	time.Sleep(settleTime)
}

// send sends the requests of a member. It reports false if the connection was closed.
func (m *servedMember) send(conn net.Conn) bool {
	request := append(headOf(localPath, fmt.Sprintf("Content-Length: %d\r\n", servedBody)), filler[:servedBody]...)
	reader := bufio.NewReaderSize(conn, 512)
	for range m.served {
		if !write(conn, bytes.Clone(request), 1, 0) {
			return false
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return false
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			return false
		}
	}
	return write(conn, m.piece, 1, 0)
}

// trickle sends a byte now and then, until done is closed or the connection ends.
func trickle(conn net.Conn, done <-chan struct{}) {
	if conn.SetDeadline(time.Time{}) != nil {
		return // it is closed
	}
	for write(conn, filler[:1], 1, 0) {
		select {
		case <-done:
			return
		case <-time.After(trickleInterval):
		}
	}
}

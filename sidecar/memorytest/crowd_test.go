package memorytest

import (
	"bytes"
	"net"
	"sync"
	"testing"
	"time"
)

const (
	dialTimeout = 10 * time.Second
	sendTimeout = 15 * time.Second // of all that one member of a crowd sends
	settleTime  = time.Second      // for which a crowd stays as it is
	// crowdReadBuffer is the receive buffer in bytes of members that do not read, so that
	// what they are sent waits at the daemon.
	crowdReadBuffer = 4 << 10
	pieceBytes      = 64 << 10
	piecePause      = time.Millisecond
)

// member sends on one connection of a crowd. i is its number.
type member func(i int, conn net.Conn)

// crowd opens connections to an address, lets each member send and leaves the connections
// open until the test ends.
func crowd(t *testing.T, addr string, size int, send member) {
	t.Helper()
	crowdAt(t, []string{addr}, size, send)
}

// crowdAt is crowd for several addresses, which the members use in turn.
func crowdAt(t *testing.T, addrs []string, size int, send member) {
	t.Helper()
	conns := make([]net.Conn, size)
	for i := range conns {
		conn, err := net.DialTimeout("tcp", addrs[i%len(addrs)], dialTimeout)
		if err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
		conns[i] = conn
		t.Cleanup(func() { _ = conn.Close() }) // the test has ended
		if err := conn.(*net.TCPConn).SetReadBuffer(crowdReadBuffer); err != nil {
			t.Fatal(err)
		}
		if err := conn.SetDeadline(time.Now().Add(sendTimeout)); err != nil {
			t.Fatal(err)
		}
	}
	var all sync.WaitGroup
	for i, conn := range conns {
		all.Go(func() { send(i, conn) })
	}
	all.Wait()
	time.Sleep(settleTime)
}

// write writes b a number of times and reports whether the connection took it all. A
// daemon may close the connection at any time.
func write(conn net.Conn, b []byte, times int, pause time.Duration) bool {
	for range times {
		if _, err := conn.Write(b); err != nil {
			return false
		}
		if pause > 0 {
			time.Sleep(pause)
		}
	}
	return true
}

// filler is what bodies consist of.
var filler = bytes.Repeat([]byte("x"), 1<<20)

// writeBody writes size bytes, in writes of at most step bytes.
func writeBody(conn net.Conn, size, step int, pause time.Duration) bool {
	return write(conn, filler[:step], size/step, pause) && write(conn, filler[:size%step], 1, 0)
}

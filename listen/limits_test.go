package listen

import (
	"net"
	"testing"
	"time"
)

// What a connection sends and the process does not read takes memory, so the kernel must take
// little of it.
func TestReceiveBufferIsBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }() // the test has ended
	if err := (Limits{ReceiveBuffer: 16 << 10}).Apply(l); err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }() // as above
	if err := conn.(*net.TCPConn).SetWriteBuffer(16 << 10); err != nil {
		t.Fatal(err)
	}
	if err := conn.SetWriteDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	if n, err := conn.Write(make([]byte, 8<<20)); err == nil || n > 1<<20 {
		t.Errorf("%d bytes were taken, error %v", n, err)
	}
}

// Connections that wait to be accepted hold what they were sent, so their number must be bounded.
func TestBacklogIsBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }() // the test has ended
	const backlog = 4
	if err := (Limits{Backlog: backlog}).Apply(l); err != nil {
		t.Fatal(err)
	}
	taken := 0
	for range 2 * backlog {
		conn, err := net.DialTimeout("tcp", l.Addr().String(), 200*time.Millisecond)
		if err != nil {
			continue // the kernel drops its first packet
		}
		defer func() { _ = conn.Close() }() // as above
		taken++
	}
	if taken == 0 || taken > backlog+1 { // one more than the backlog may wait
		t.Errorf("%d connections wait to be accepted, want at most %d", taken, backlog+1)
	}
}

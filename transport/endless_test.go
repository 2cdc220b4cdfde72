package transport

import (
	"net"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/wire"
)

// A peer that sends a frame slowly and without end must lose its connection, whichever
// part of the frame does not end; a peer that sends nothing must keep it.
func TestEndlessFrameEndsTheConnection(t *testing.T) {
	s := NewServer(Config{Hello: hello("a"), FrameTimeout: 200 * time.Millisecond}, &echo{}, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l) }() // ends with Close
	defer s.Close()
	open := func() net.Conn {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write(frame(t, wire.KindHello, 0, helloOf(wire.MinVersion, wire.MaxVersion, ClassRequest)))
		if _, err := wire.NewReader(conn, wire.MaxHello).Next(); err != nil {
			t.Fatal(err)
		}
		return conn
	}
	silent := open()
	defer func() { _ = silent.Close() }()
	for name, start := range map[string][]byte{"length": {0}, "prefix": {0, 0, 1, 0}, "body": {0, 0, 1, 0, 2}, "large body": {0, 0x80, 0, 0, 2}} {
		conn := open()
		_, err := conn.Write(start)
		for end := time.Now().Add(20 * time.Second); err == nil && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if name != "length" {
				_, _ = conn.Write([]byte{0}) // a failed write shows in the read
			}
			_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
			if _, err = conn.Read(make([]byte, 1)); err != nil {
				if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
					err = nil
				}
			}
		}
		if err == nil {
			t.Errorf("%s: the connection stays open", name)
		}
		_ = conn.Close()
	}
	_ = silent.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	if _, err := silent.Read(make([]byte, 1)); err == nil || !err.(net.Error).Timeout() {
		t.Errorf("the silent connection: %v", err)
	}
}

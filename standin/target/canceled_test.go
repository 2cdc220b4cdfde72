package target_test

import (
	"io"
	"net"
	"testing"

	"github.com/parsleystack/parsleystack/standin/target"
)

// After a freeze, a target reads requests whose connections were closed in the
// meantime. Another target may own their keys by then, so it must not start
// them.
func TestRequestWhoseConnectionIsClosedIsNotBegun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const request = "GET /house-7 HTTP/1.1\r\nHost: target\r\n\r\n"
	closedConn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(closedConn, request); err != nil {
		t.Fatal(err)
	}
	if err := closedConn.Close(); err != nil {
		t.Fatal(err)
	}
	tt := target.New(target.Config{Name: "a", Slots: 1, Conns: 10})
	served := make(chan error, 1)
	go func() { served <- tt.Serve(listener) }()
	// Connections are accepted in order, and Shutdown waits for requests in
	// progress.
	if err := readResponse(listener.Addr().String(), request); err != nil {
		t.Fatal(err)
	}
	if err := tt.Shutdown(t.Context()); err != nil {
		t.Fatal(err)
	}
	<-served
	if runs := tt.Runs(); len(runs) != 1 {
		t.Fatalf("%d runs, want 1, from the open connection: %+v", len(runs), runs)
	}
}

func readResponse(addr, request string) error {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, request); err != nil {
		return err
	}
	_, err = conn.Read(make([]byte, 1))
	return err
}

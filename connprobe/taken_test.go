package connprobe

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// pair returns both ends of a connection over loopback.
func pair(t *testing.T) (local, remote *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }() // the connection is open
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	r, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = r.Close() })
	return c.(*net.TCPConn), r.(*net.TCPConn)
}

// awaitState waits for a state of a connection.
func awaitState(t *testing.T, c net.Conn, what string, want func(SendState) bool) {
	t.Helper()
	var s SendState
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		known := false
		if s, known = Sent(c); known && want(s) {
			return
		}
	}
	t.Errorf("%s: state %+v", what, s)
}

func TestSentTellsWhatThePeerHasTaken(t *testing.T) {
	t.Parallel()
	local, remote := pair(t)
	if _, err := local.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	awaitState(t, local, "acknowledged", func(s SendState) bool {
		return s.Unacked == 0 && s.Acked > uint64(len("request")) && s.Window > 0 && !s.Closed
	})
	go func() { _, _ = local.Write(make([]byte, 8<<20)) }() // fails at the reset
	awaitState(t, local, "more than the peer has room for", func(s SendState) bool { return s.Unacked > 0 && s.Window == 0 })
	if err := errors.Join(remote.CloseWrite(), remote.SetLinger(0), remote.Close()); err != nil {
		t.Fatal(err)
	}
	awaitState(t, local, "reset", func(s SendState) bool { return s.Closed })
}

func TestSentOfAPipeIsNotKnown(t *testing.T) {
	t.Parallel()
	local, remote := net.Pipe()
	defer func() { _ = errors.Join(local.Close(), remote.Close()) }()
	if s, known := Sent(local); known {
		t.Errorf("state %+v", s)
	}
}

// The end of the peer's direction tells nothing of a request that it has not taken.
func TestAwaitTakenWaitsForTheRequest(t *testing.T) {
	t.Parallel()
	const size = 8 << 20
	for name, c := range map[string]struct {
		after func(*net.TCPConn) error // of the peer, after its end
		want  error
	}{
		"read on": {func(remote *net.TCPConn) error {
			var err error
			for b := make([]byte, 64<<10); err == nil; {
				_, err = remote.Read(b)
			}
			return nil
		}, nil},
		"reset": {func(remote *net.TCPConn) error { return errors.Join(remote.SetLinger(0), remote.Close()) }, syscall.ECONNRESET},
	} {
		local, remote := pair(t)
		upload := NewUpload(local)
		upload.Begin()
		upload.Add(size)
		written := make(chan error, 1)
		go func() {
			_, err := local.Write(make([]byte, size))
			written <- err
		}()
		awaitState(t, local, "blocked", func(s SendState) bool { return s.Window == 0 })
		if err := remote.CloseWrite(); err != nil {
			t.Fatal(err)
		}
		if _, err := local.Read(make([]byte, 1)); err == nil {
			t.Fatal("no end")
		}
		failed := make(chan error, 1)
		go func() { failed <- c.after(remote) }()
		err := upload.AwaitTaken(written)
		if errors.Is(err, syscall.EPIPE) { // the write got the error
			err = syscall.ECONNRESET
		}
		if !errors.Is(err, c.want) || c.want == nil && err != nil {
			t.Errorf("%s: error %v, want %v", name, err, c.want)
		}
		_ = local.Close() // ends the reading of the peer
		if err := <-failed; err != nil {
			t.Error(err)
		}
	}
}

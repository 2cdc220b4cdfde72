package wire

import (
	"bytes"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/recvlimit"
)

func requestFrame(t *testing.T, id uint64, body int) []byte {
	t.Helper()
	b, err := Append(nil, KindRequest, id, &Request{Body: make([]byte, body)}, 64<<20)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A frame without room must be discarded, and its connection must carry the next one.
func TestFramesWithoutRoomAreDiscarded(t *testing.T) {
	p := recvlimit.NewPool(4 << 20)
	r := NewReader(bytes.NewReader(append(requestFrame(t, 1, 8<<20), requestFrame(t, 2, 1000)...)), 64<<20)
	r.SetMemory(p)
	f, err := r.Next()
	var noRoom *recvlimit.BudgetError
	if err != nil || !errors.As(f.Refused, &noRoom) || f.ID != 1 || p.Held() != 0 {
		t.Fatalf("%v, error %v, %d bytes held", f.Refused, err, p.Held())
	}
	f, err = r.Next()
	if err != nil || f.Refused != nil || f.ID != 2 || p.Held() < 1000 {
		t.Fatalf("%v, error %v, %d bytes held", f.Refused, err, p.Held())
	}
	if f.Release(); p.Held() != 0 {
		t.Errorf("%d bytes stay held", p.Held())
	}
}

// A frame that stops short of its end must be evicted while its reader waits, and the rest of
// it discarded, without loss of the connection.
func TestIncompleteFramesAreEvicted(t *testing.T) {
	const size = 3 << 20
	p := recvlimit.NewPool(8 << 20)
	local, remote := net.Pipe()
	r := NewReader(local, 64<<20)
	r.SetFrameTimeout(local, time.Minute)
	r.SetMemory(p)
	frame := requestFrame(t, 1, size)
	frames := make(chan Frame, 2)
	go func() {
		for range 2 {
			f, err := r.Next()
			if err != nil {
				t.Error(err)
			}
			frames <- f
		}
	}()
	if _, err := remote.Write(frame[:len(frame)-1]); err != nil {
		t.Fatal(err)
	}
	if err := p.Open(recvlimit.Caller, nil).Grow(6 << 20); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); p.Held() > 6<<20; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes held", p.Held())
		}
	}
	if _, err := remote.Write(append(frame[len(frame)-1:], requestFrame(t, 2, 10)...)); err != nil {
		t.Fatal(err)
	}
	if f := <-frames; f.Refused == nil || f.ID != 1 {
		t.Errorf("the frame was not refused: %+v", f)
	}
	if f := <-frames; f.Refused != nil || f.ID != 2 || len(f.Body) == 0 {
		t.Errorf("the next frame: %+v", f)
	}
}

package fairread

import (
	"net"
	"runtime"
	"sync/atomic"
	"testing"
)

// endless is a connection with more to be read at any time.
type endless struct{ net.Conn }

func (endless) Read(b []byte) (int, error) { return len(b), nil }

// A goroutine that reads without end must leave the processor to others after each read, not
// after a time slice.
func TestEndlessReadsYield(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var stop atomic.Bool
	reads := 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		for c, b := (&Conn{Conn: endless{}}), make([]byte, 1); !stop.Load(); reads++ {
			_, _ = c.Read(b) // never fails
		}
	}()
	const turns = 1000
	for range turns {
		runtime.Gosched()
	}
	stop.Store(true)
	<-done
	if reads > 100*turns {
		t.Errorf("%d reads in %d turns of another goroutine", reads, turns)
	}
}

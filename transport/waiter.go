package transport

import (
	"sync"

	"github.com/parsleystack/parsleystack/wire"
)

// answer is what a waiter receives: a frame, or an error with what is known of
// the question.
type answer struct {
	frame wire.Frame
	sent  bool // bytes of the question may have been written
	err   error
}

// waiter is one question that waits for its answer.
type waiter struct {
	ch       chan answer // buffered, receives at most one answer
	want     wire.Kind
	position uint64 // of the question in the connection's stream
}

var waiters = sync.Pool{New: func() any { return &waiter{ch: make(chan answer, 1)} }}

func newWaiter(want wire.Kind) *waiter {
	w := waiters.Get().(*waiter)
	w.want = want
	return w
}

// free hands back a waiter that can receive no answer any more.
func (w *waiter) free() { waiters.Put(w) }

package transport

import (
	"sync"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/recvlimit"
	"github.com/parsleystack/parsleystack/wire"
)

// answer is the result of an RPC: the frame that answers it, or an error.
type answer struct {
	frame wire.Frame
	sent  bool // the RPC's frame may have been written completely
	err   error
}

// waiter is an RPC that waits for its answer.
type waiter struct {
	ch        chan answer // buffered; receives at most one answer
	wantKind  wire.Kind
	sentAt    clock.Time
	streamPos uint64 // where the RPC's frame starts in the outgoing byte stream
	streamEnd uint64 // where the RPC's frame ends in the outgoing byte stream
	// reserved is memory for the answer until that begins to arrive; nil if there is none.
	reserved *recvlimit.Holding
}

var waiterPool = sync.Pool{New: func() any { return &waiter{ch: make(chan answer, 1)} }}

func newWaiter(want wire.Kind) *waiter {
	w := waiterPool.Get().(*waiter)
	w.wantKind = want
	return w
}

// release returns w to the pool. No answer may be sent to w afterwards.
func (w *waiter) release() {
	w.reserved.Release()
	w.reserved = nil
	waiterPool.Put(w)
}

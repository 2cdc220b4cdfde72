package sidecar

import (
	"sync"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/hedge"
)

// hedges decides on second copies for all requests of callers. It is safe for concurrent use.
// A nil hedges sends none.
type hedges struct {
	mu     sync.Mutex
	policy *hedge.Policy
}

func newHedges(share float64) *hedges { return &hedges{policy: hedge.New(share)} }

func (h *hedges) countRequest() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.policy.CountRequest()
}

func (h *hedges) delay(r *hedge.Request) (time.Duration, hedge.Refusal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.policy.Delay(r)
}

func (h *hedges) admit(s hedge.State) hedge.Refusal {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.policy.Admit(s)
}

func (h *hedges) withdraw() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.policy.Withdraw()
}

func (h *hedges) observe(route string, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.policy.Observe(route, took, clock.Now())
}

func (h *hedges) observeCopy(route string, first bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.policy.ObserveCopy(route, first)
}

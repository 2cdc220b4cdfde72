package sidecar

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// bookAtOnce sends requests at the same time and returns the number of connections to the
// target while they run, and that of requests that were not served.
func bookAtOnce(n *testNode, requests int) (conns, unserved int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for range requests {
		wg.Go(func() {
			a := n.call(http.MethodPost, "/book/a", newID(), platformtest.NoKey)
			mu.Lock()
			defer mu.Unlock()
			if a.Status != http.StatusOK {
				unserved++
			}
		})
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	for {
		select {
		case <-done:
			return conns, unserved
		case <-time.After(5 * time.Millisecond):
			conns = max(conns, n.target.Conns())
		}
	}
}

// A target that states more slots while it runs got no more connections than for those it
// had at first, so that requests beyond them were refused.
func TestSlotsOfATargetMayGrow(t *testing.T) {
	t.Parallel()
	d := deployWith(t, func(n *testNode) { n.target.Slots, n.target.ProcessingTime = 1, 300*time.Millisecond }, plainService, keyedService)
	n := d.nodes[0]
	n.awaitUnkeyedServing(t)
	n.target.SetSlots(24)
	eventually(t, "the slots are known", func() bool { _, _, limit := n.daemon.backend.requests(); return limit == 24 })
	if conns, unserved := bookAtOnce(n, 24); unserved > 0 || conns < 24 {
		t.Errorf("%d of 24 requests to 24 free slots were not served, over %d connections", unserved, conns)
	}
}

// A target resets connections beyond the number that the configuration states for its
// service, which may change.
func TestTargetGetsNoMoreConnectionsThanConfigured(t *testing.T) {
	t.Parallel()
	d := deployWith(t, func(n *testNode) { n.target.ProcessingTime = 50 * time.Millisecond }, plainService, keyedService)
	n := d.nodes[0]
	n.awaitUnkeyedServing(t)
	d.store.MaxConnections = 3
	d.configure("")
	eventually(t, "the number of connections is known", func() bool { _, _, limit := n.daemon.backend.requests(); return limit == 3 })
	eventually(t, "connections beyond it are closed", func() bool { conns, _ := bookAtOnce(n, 1); return conns <= 3 })
	if conns, _ := bookAtOnce(n, 24); conns > 3 {
		t.Errorf("%d connections to a target that accepts 3", conns)
	}
}

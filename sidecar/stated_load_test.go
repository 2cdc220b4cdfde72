package sidecar

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// Nothing read the load that targets state in each response. A target that is slow just now
// refuses what it can't finish in time, and another one runs it.
func TestTargetThatIsSlowJustNowLeavesRequestsToOthers(t *testing.T) {
	t.Parallel()
	var slowStated atomic.Bool
	d := deployWith(t, func(n *testNode) {
		n.target.ProcessingTime = 450 * time.Millisecond
		n.target.Load = func() string {
			if slowStated.Load() && n.settings.Instance == "node-0" {
				return "1,0,8,300" // 1.35 s for a request with an objective of 1 s
			}
			return "1,0,8,100"
		}
	}, plainService, plainService)
	for _, n := range d.nodes {
		n.awaitUnkeyedServing(t)
		n.awaitPeers(t, 1)
	}
	slow := d.nodes[0]
	slowStated.Store(true)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range 4 {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * 110 * time.Millisecond) // so that responses arrive all the time
			for {
				select {
				case <-stop:
					return
				default:
				}
				if a := slow.call(http.MethodPost, "/book/a", newID(), platformtest.NoKey); a.Status != http.StatusOK {
					t.Errorf("status %d", a.Status)
				}
			}
		})
	}
	eventually(t, "a request is refused because the target is slow", func() bool {
		return strings.Contains(slow.metrics(t), "parsley_target_slow_refused_total")
	})
	close(stop)
	callers.Wait()
	if !strings.Contains(slow.metrics(t), "parsley_target_stated_slowness 3") {
		t.Error("the stated slowness is not in the metrics")
	}
}

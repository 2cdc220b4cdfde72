package sidecar

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// A daemon stops while large responses of its target wait for a link that needs 72 ms for
// each of them. Those that the target has run must arrive whole.
func TestStopSendsQueuedDownloads(t *testing.T) {
	t.Parallel()
	const linkRate = 10e6 / 8 // bytes per second
	d := deployWith(t, func(n *testNode) { n.settings.LinkRate, n.settings.MemoryBytes = linkRate, 184<<20 }, plainService, keyedService)
	n, entry := d.nodes[0], d.nodes[1]
	d.configureRoutes(platformtest.Route{Prefix: platformtest.LargePrefix, Service: plainService, Kind: "download"})
	download := func(id string) platformtest.Answer {
		return entry.call(http.MethodGet, platformtest.LargePrefix+"a", id, platformtest.NoKey)
	}
	eventually(t, "downloads are served", func() bool { return download(newID()).Status == http.StatusOK })
	stopped := time.Now()
	n.stop()
	var done sync.WaitGroup
	served := make(chan struct{}, 200)
	for time.Since(stopped) < callerDrainTime+targetDrainTime+300*time.Millisecond {
		done.Go(func() {
			id := newID()
			a := download(id)
			switch {
			case a.Err != nil || a.Status != http.StatusOK && a.Status != http.StatusServiceUnavailable:
				t.Errorf("a download ends %v after the stop with status %d, error %v", time.Since(stopped), a.Status, a.Err)
			case a.Status == http.StatusOK && a.Body != platformtest.AnswerBody(platformtest.LargePrefix+"a", id):
				t.Errorf("a download has %d bytes", len(a.Body))
			case a.Status == http.StatusOK:
				served <- struct{}{}
			}
		})
		time.Sleep(60 * time.Millisecond) // more than the link carries
	}
	done.Wait()
	<-n.done
	n.start(t)
	if len(served) == 0 {
		t.Error("no download was served while the daemon stopped")
	}
}

package sidecar

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// The daemon of a key's owner stops while long requests for the key arrive. A request
// that cannot finish before the process ends must be refused, and not be started and
// aborted.
func TestStopBeginsNothingThatItBreaksOff(t *testing.T) {
	t.Parallel()
	d := deployWith(t, func(n *testNode) {
		n.settings.GraceTime = 3400 * time.Millisecond
		if n.target.Service == keyedService {
			n.target.Slots, n.target.ProcessingTime = 3, 1100*time.Millisecond
		}
	}, keyedService, plainService)
	n, entry := d.nodes[0], d.nodes[1]
	view := func() platformtest.Answer { return entry.call(http.MethodGet, "/view/a", newID(), 40000) }
	eventually(t, "the key is served", func() bool { return view().Status == http.StatusOK })
	for range 3 { // so that the daemon has an estimate of the run time
		view()
	}
	stopped := time.Now()
	n.stop()
	var done sync.WaitGroup
	for range 30 {
		done.Go(func() {
			sent := time.Since(stopped)
			a := view()
			if a.Err != nil || a.Status != http.StatusOK && a.Status != http.StatusServiceUnavailable {
				t.Errorf("a request of %v after the stop ends %v after it with status %d, error %v", sent, time.Since(stopped), a.Status, a.Err)
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	done.Wait()
	<-n.done
	n.start(t)
}

// A request that waits for the owner of its key must be answered before its daemon
// ends. One that arrives after the drain times must be refused at once.
func TestStopAnswersRequestsAwaitingOwner(t *testing.T) {
	t.Parallel()
	d := deployWith(t, func(n *testNode) {
		if n.target.Service == keyedService {
			n.target.ProcessingTime = 1200 * time.Millisecond
		}
	}, keyedService, plainService)
	n := d.nodes[0]
	view := func(id string) platformtest.Answer { return n.call(http.MethodGet, "/view/a", id, 40000) }
	eventually(t, "the key is served", func() bool { return view(newID()).Status == http.StatusOK })
	n.stop()
	stopped := time.Now()
	time.AfterFunc(callerDrainTime-200*time.Millisecond, func() { view(newID()) }) // keeps the target busy
	for time.Since(stopped) < callerDrainTime+targetDrainTime+time.Second {
		sent, delay := time.Now(), schedulingDelay()
		a := view(newID())
		delayed := delay()
		if after := sent.Sub(stopped); after > callerDrainTime+targetDrainTime+100*time.Millisecond {
			if a.Err == nil && a.Status == http.StatusOK {
				t.Errorf("a request %v after the stop was accepted", after)
			}
			if took := time.Since(sent); took > 100*time.Millisecond {
				t.Errorf("a request %v after the stop waited for %v, of which goroutines were delayed by up to %v: %+v", after, took, delayed, a)
			}
		}
		time.Sleep(40 * time.Millisecond)
	}
	<-n.done
	n.start(t)
}

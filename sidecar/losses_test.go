package sidecar

import (
	"flag"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/ownertable"
	"github.com/parsleystack/parsleystack/platform/platformtest"
)

var losses = flag.Int("losses", 1, "losses of each kind in TestTimeWithoutService")

// probeStep is the distance between the probed keys.
const probeStep = 2048

// prober sends requests for keys in a loop and records how long each key is not
// served.
type prober struct {
	entry *testNode
	stop  chan struct{}
	done  sync.WaitGroup

	mu            sync.Mutex
	lastServed    map[int]time.Time // by key
	longestOutage time.Duration
}

// probe starts a prober that sends its requests through entry.
func probe(entry *testNode) *prober {
	p := &prober{entry: entry, stop: make(chan struct{}), lastServed: make(map[int]time.Time)}
	for key := 0; key <= 65535; key += probeStep {
		p.done.Go(func() { p.probeKey(key) })
	}
	return p
}

func (p *prober) probeKey(key int) {
	for {
		ok := p.entry.call(http.MethodGet, "/view/a", newID(), key).Status == http.StatusOK
		now := time.Now()
		p.mu.Lock()
		if last, seen := p.lastServed[key]; ok && seen {
			p.longestOutage = max(p.longestOutage, now.Sub(last))
		}
		if ok {
			p.lastServed[key] = now
		}
		p.mu.Unlock()
		select {
		case <-p.stop:
			return
		case <-time.After(25 * time.Millisecond):
		}
	}
}

// reset clears the longest outage.
func (p *prober) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.longestOutage = 0
}

// servedSince reports whether all keys were served after a time, and the longest
// outage of a key since reset.
func (p *prober) servedSince(at time.Time) (bool, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, last := range p.lastServed {
		if !last.After(at) {
			return false, 0
		}
	}
	return true, p.longestOutage
}

// crash ends an instance without notice to other daemons or the store.
func (n *testNode) crash(d *deployment) {
	d.store.SetFault(platformtest.Unavailable, n.settings.Store.Addr)
	n.daemon.peerLinks.Close()
	n.daemon.server.Close()
	n.target.Stop()
}

// restart starts a crashed instance again.
func (n *testNode) restart(t *testing.T, d *deployment) {
	t.Helper()
	n.stop()
	<-n.done
	d.store.SetFault(platformtest.NoFault, n.settings.Store.Addr)
	n.start(t)
	if err := n.target.Start(); err != nil {
		t.Fatal(err)
	}
}

// TestTimeWithoutService makes each kind of part fail and measures how long keys are
// not served. go test ./sidecar -run TestTimeWithoutService -losses 30 -v prints the
// minimum, median and maximum of 30 failures of each kind.
func TestTimeWithoutService(t *testing.T) {
	t.Parallel()
	for _, kind := range []struct {
		name   string
		bound  time.Duration // from "How long keys are not served" in docs/design/0005-platform.md, plus a second for a busy machine
		inject func(t *testing.T, d *deployment, n *testNode) (restore func())
	}{
		{"target", 5 * time.Second, func(t *testing.T, _ *deployment, n *testNode) func() {
			n.target.Stop()
			return func() {
				if err := n.target.Start(); err != nil {
					t.Fatal(err)
				}
			}
		}},
		{"target started again", 5 * time.Second, func(t *testing.T, _ *deployment, n *testNode) func() {
			n.target.Stop()
			if err := n.target.Start(); err != nil {
				t.Fatal(err)
			}
			return func() {}
		}},
		{"instance", 6400 * time.Millisecond, func(t *testing.T, d *deployment, n *testNode) func() {
			n.crash(d)
			return func() { n.restart(t, d) }
		}},
		{"daemon restarted", 2500 * time.Millisecond, func(t *testing.T, _ *deployment, n *testNode) func() {
			n.stop()
			<-n.done
			n.start(t)
			return func() {}
		}},
		{"store away", 1500 * time.Millisecond, func(_ *testing.T, d *deployment, _ *testNode) func() {
			d.store.SetFault(platformtest.Unavailable)
			time.Sleep(4 * time.Second)
			d.store.SetFault(platformtest.NoFault)
			return func() {}
		}},
		{"store goes back", 1500 * time.Millisecond, func(_ *testing.T, d *deployment, _ *testNode) func() {
			d.store.GoBack(platformtest.Drill{Age: copyAge, Away: awayTime})
			d.store.WriteAgain()
			return func() {}
		}},
	} {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, keyedService, keyedService, keyedService, keyedService, plainService)
			d.awaitServing()
			time.Sleep(ownertable.MaxUnconfirmed) // until all members are established
			p := probe(d.nodes[4])
			defer func() { close(p.stop); p.done.Wait() }()
			var times []time.Duration
			for i := range *losses {
				time.Sleep(2 * time.Second) // until no more keys move
				p.reset()
				restore := kind.inject(t, d, d.nodes[i%4])
				at := time.Now()
				took := time.Duration(0)
				eventually(t, "all keys are served again", func() (ok bool) { ok, took = p.servedSince(at); return ok })
				times = append(times, took)
				restore()
				eventually(t, "all instances serve", func() bool { return d.nodes[i%4].call(http.MethodGet, "/view/a", newID(), 1).Status == http.StatusOK })
			}
			slices.Sort(times)
			t.Logf("%d losses: least %v, median %v, longest %v", len(times), times[0].Round(time.Millisecond), times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond))
			if longest := times[len(times)-1]; longest > kind.bound {
				t.Errorf("keys were not served for %v, %v allowed", longest, kind.bound)
			}
		})
	}
}

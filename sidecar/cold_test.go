package sidecar

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

const (
	testColdPerSecond = 13
	testColdStart     = 6 * time.Second
	// testColdBound is what the settings of the tests allow in any second.
	testColdBound = 27
)

// deployCold starts daemons and targets of a service whose cold targets have a limit.
func deployCold(t *testing.T, tune func(*testNode), services ...string) *deployment {
	t.Helper()
	d := deployWith(t, func(n *testNode) {
		n.target.Cold = &platformtest.ColdStart{Duration: testColdStart}
		tune(n)
	}, services...)
	d.store.ColdPerSecond, d.store.ColdStart = testColdPerSecond, testColdStart
	d.configure("")
	for _, n := range d.nodes {
		eventually(t, "the limit of cold targets is in force", func() bool {
			v := n.daemon.control.view.Load()
			return v.routes != nil && int(v.routes.Version()) == d.version
		})
	}
	return d
}

// coldLoad is a load on all daemons that is far above what their targets tolerate while they
// are cold.
type coldLoad struct {
	stop    chan struct{}
	callers sync.WaitGroup
	mu      sync.Mutex
	served  []time.Time
}

// startColdLoad starts callers at each daemon. Requests for the keyed service have all keys.
func startColdLoad(d *deployment, keyed bool) *coldLoad {
	l := &coldLoad{stop: make(chan struct{})}
	for _, n := range d.nodes {
		for i := range 12 {
			l.callers.Go(func() { l.send(n, keyed, i*5000) })
		}
	}
	return l
}

func (l *coldLoad) send(n *testNode, keyed bool, key int) {
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		method, path, k := http.MethodPost, "/book/a", platformtest.NoKey
		if keyed {
			method, path, k = http.MethodGet, "/view/a", key
		}
		if n.call(method, path, newID(), k).Status == http.StatusOK {
			l.mu.Lock()
			l.served = append(l.served, time.Now())
			l.mu.Unlock()
		}
	}
}

func (l *coldLoad) finish() {
	close(l.stop)
	l.callers.Wait()
}

// servedBetween counts the requests that were served between two times.
func (l *coldLoad) servedBetween(from, to time.Time) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, at := range l.served {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// awaitWarm waits until no daemon paces the requests to its target.
func (d *deployment) awaitWarm() {
	d.t.Helper()
	for _, n := range d.nodes {
		eventually(d.t, "the target is warm", func() bool { return !n.daemon.backend.coldTarget().Cold })
	}
}

func (d *deployment) checkColdBound(t *testing.T, from time.Time) {
	t.Helper()
	var arrivals []platformtest.Arrival
	cold := 0
	for _, a := range d.records.Arrivals() {
		if a.At.After(from) {
			arrivals = append(arrivals, a)
			if a.Cold {
				cold++
			}
		}
	}
	if most := platformtest.MostInASecond(arrivals); most > testColdBound {
		t.Errorf("a cold target got %d requests within a second, %d are allowed", most, testColdBound)
	}
	if cold == 0 {
		t.Error("no cold target got any request")
	}
}

// After all instances had lost power at once, cold targets got 34 and 30 requests in one
// second where 27.5 are allowed: the restarted daemons knew the targets from their records,
// the targets accepted requests at once and sent their first heartbeats a second later, and
// requests had queued up at the daemons meanwhile.
func TestColdTargetsAfterAPowerLoss(t *testing.T) {
	t.Parallel()
	for _, service := range []string{plainService, keyedService} {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			d := deployCold(t, func(n *testNode) { n.target.FirstHeartbeat = time.Second }, service, service, service)
			d.awaitWarm()
			l := startColdLoad(d, service == keyedService)
			time.Sleep(2 * time.Second)
			for _, n := range d.nodes {
				n.target.Stop()
				n.stop()
			}
			for _, n := range d.nodes {
				<-n.done
			}
			lost := time.Now()
			for _, n := range d.nodes {
				if err := n.target.Start(); err != nil {
					t.Fatal(err)
				}
				n.start(t)
			}
			time.Sleep(testColdStart + 2*time.Second)
			l.finish()
			d.checkColdBound(t, lost)
			// Keys are served once the targets have their grants, after their first heartbeats.
			served := l.servedBetween(lost.Add(3*time.Second), lost.Add(testColdStart))
			if want := 0.7 * 3 * 3 * testColdPerSecond; float64(served) < want {
				t.Errorf("%d requests were served in 3 s of the cold start, want %.0f: 0.7 of what the targets tolerate", served, want)
			}
			if warm := l.servedBetween(lost.Add(testColdStart+time.Second), lost.Add(testColdStart+2*time.Second)); warm < 3*3*testColdPerSecond {
				t.Errorf("%d requests were served in a second after the cold start, want many more than the %d of cold targets", warm, 3*testColdPerSecond)
			}
		})
	}
}

// A process that replaces the target under the same id accepts requests at once, and its first
// heartbeat arrives a second later.
func TestTargetThatIsReplacedWhileItsDaemonRuns(t *testing.T) {
	t.Parallel()
	d := deployCold(t, func(n *testNode) { n.target.FirstHeartbeat = time.Second }, plainService, plainService)
	d.awaitWarm()
	l := startColdLoad(d, false)
	for range 3 {
		time.Sleep(1500 * time.Millisecond)
		from := time.Now()
		d.nodes[0].target.Stop()
		time.Sleep(50 * time.Millisecond)
		if err := d.nodes[0].target.Start(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(1500 * time.Millisecond)
		d.checkColdBound(t, from)
	}
	l.finish()
}

// A daemon that restarts while its target is cold continues the pace of the earlier process.
func TestDaemonRestartsBesideAColdTarget(t *testing.T) {
	t.Parallel()
	d := deployCold(t, func(*testNode) {}, plainService, plainService)
	d.awaitWarm()
	n := d.nodes[0]
	l := startColdLoad(d, false)
	n.target.Stop()
	from := time.Now()
	if err := n.target.Start(); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		time.Sleep(1500 * time.Millisecond)
		n.stop()
		<-n.done
		n.start(t)
	}
	time.Sleep(time.Second)
	l.finish()
	d.checkColdBound(t, from)
}

// A target that becomes cold without a restart says so only in heartbeats and in responses to
// health checks. What it got before is part of what it may get in a second.
func TestTargetThatBecomesColdAgain(t *testing.T) {
	t.Parallel()
	for name, statesLoad := range map[string]bool{"by heartbeat": false, "by health check": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deployCold(t, func(n *testNode) {
				if statesLoad {
					n.target.Load = func() string { return "1,0,8,100" }
				}
			}, plainService)
			d.awaitWarm()
			n := d.nodes[0]
			l := startColdLoad(d, false)
			time.Sleep(time.Second)
			n.target.Cold.Begin()
			eventually(t, "the target is known to be cold", func() bool { return n.daemon.backend.coldTarget().Cold })
			time.Sleep(1100 * time.Millisecond)
			known := time.Now()
			time.Sleep(2 * time.Second)
			if err := n.target.SendHeartbeat(); err != nil {
				t.Fatal(err)
			}
			l.finish()
			d.checkColdBound(t, known)
		})
	}
}

// A target that resets a connection may be a new process. One that states its load is asked at
// once, so that a warm one is slowed down for a moment only.
func TestHealthCheckEndsADoubt(t *testing.T) {
	t.Parallel()
	d := deployCold(t, func(n *testNode) {
		n.target.Load = func() string { return "1,0,8,100" }
		n.target.HeartbeatInterval = 20 * time.Second // only health checks tell
	}, plainService)
	n := d.nodes[0]
	n.target.Cold.Duration = 0
	n.target.Cold.Begin()
	n.awaitUnkeyedServing(t)
	d.awaitWarm()
	if err := n.target.Behave(platformtest.Behavior{RefusesConnections: true}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the refused connection is noticed", func() bool {
		n.call(http.MethodPost, "/book/a", newID(), platformtest.NoKey)
		return n.daemon.backend.coldTarget().Unknown
	})
	if err := n.target.Behave(platformtest.Behavior{}); err != nil {
		t.Fatal(err)
	}
	if err := n.target.SendHeartbeat(); err != nil { // it is reachable again
		t.Fatal(err)
	}
	d.awaitWarm()
	checks := 0
	for _, a := range d.records.Arrivals() {
		if a.Health {
			checks++
		}
	}
	if checks == 0 || checks > 4 {
		t.Errorf("%d health checks, want one or two for each doubt", checks)
	}
}

// Without a limit in the configuration nothing is paced, whatever the target states.
func TestServicesWithoutALimitAreNotPaced(t *testing.T) {
	t.Parallel()
	d := deployWith(t, func(n *testNode) { n.target.Cold = &platformtest.ColdStart{Duration: time.Minute} }, plainService, keyedService)
	n := d.nodes[0]
	n.awaitUnkeyedServing(t)
	start := time.Now()
	for i := range 100 {
		if a := n.call(http.MethodPost, "/book/a", fmt.Sprintf("unpaced-%d", i), platformtest.NoKey); a.Status != http.StatusOK {
			t.Fatalf("request %d: status %d", i, a.Status)
		}
	}
	if took := time.Since(start); took > 4*time.Second {
		t.Errorf("100 requests took %v", took)
	}
}

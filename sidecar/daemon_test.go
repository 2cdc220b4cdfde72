package sidecar

import (
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// Requests with and without a key through every daemon must run once and unchanged,
// and their responses must arrive complete.
func TestServesAllKinds(t *testing.T) {
	t.Parallel()
	d := deploy(t, keyedService, keyedService, plainService)
	d.awaitServing()
	for _, n := range d.nodes {
		for key := 77; key <= 65535; key += 9000 {
			id := newID()
			a := n.call(http.MethodGet, "/view/x?y=%2F", id, key)
			if a.Status != http.StatusOK || a.Body != "body of "+id || !a.Signed {
				t.Fatalf("%s key %d: %+v", n.settings.Instance, key, a)
			}
		}
		id := newID()
		if a := n.call(http.MethodPost, "/book/x//y", id, platformtest.NoKey); a.Status != http.StatusOK {
			t.Fatalf("booking: %+v", a)
		}
		runs := d.records.ByRequest(id)
		if len(runs) != 1 || runs[0].URI != "/book/x//y" || runs[0].Body != "payload" || runs[0].Caller != string(n.settings.Service) {
			t.Errorf("runs %+v", runs)
		}
	}
	for _, name := range []string{"parsley_requests_total{", "parsley_configuration_version 1", "parsley_store_calls_total{"} {
		if text := d.nodes[0].metrics(t); !strings.Contains(text, name) {
			t.Errorf("no %s among the metrics", name)
		}
	}
	d.nodes[0].awaitConfirmed(t)
	if a := d.nodes[0].call(http.MethodGet, "/none/", newID(), platformtest.NoKey); a.Status != http.StatusNotFound {
		t.Errorf("a path without a route is answered with status %d, want 404", a.Status)
	}
}

// load sends bookings through some nodes until it is stopped, and checks the answers.
type load struct {
	stop       atomic.Bool
	done       sync.WaitGroup
	sent       atomic.Int64
	served     atomic.Int64
	mu         sync.Mutex
	violations []string
}

func (d *deployment) startLoad(callers int, nodes ...*testNode) *load {
	l := new(load)
	for i := range callers {
		l.done.Go(func() {
			for n := nodes[i%len(nodes)]; !l.stop.Load(); {
				id := newID()
				a := n.call(http.MethodPost, "/book/load", id, platformtest.NoKey)
				l.sent.Add(1)
				l.check(d, id, a)
			}
		})
	}
	return l
}

// check compares an answer with the runs that the targets recorded.
func (l *load) check(d *deployment, id string, a platformtest.Answer) {
	runs := len(d.records.ByRequest(id))
	problem := ""
	switch {
	case a.Err != nil && runs > 0:
		problem = "ran, but the caller got no response: " + a.Err.Error()
	case runs > 1:
		problem = "ran more than once"
	case a.Status == http.StatusServiceUnavailable && runs > 0:
		problem = "ran, but was answered with 503"
	case a.Status == http.StatusOK && (runs != 1 || a.Body != "body of "+id):
		problem = "answered with 200 without one complete run"
	case a.Status == http.StatusOK:
		l.served.Add(1)
	}
	if problem != "" {
		l.mu.Lock()
		l.violations = append(l.violations, id+": "+problem)
		l.mu.Unlock()
	}
}

func (l *load) finish(t *testing.T) {
	t.Helper()
	l.stop.Store(true)
	l.done.Wait()
	if len(l.violations) > 0 {
		t.Errorf("%d of %d requests, the first: %s", len(l.violations), l.sent.Load(), l.violations[0])
	}
	if l.served.Load() == 0 {
		t.Error("no request was served")
	}
}

// Daemons of both kinds of service are stopped and restarted one after another under
// load, as in a rolling restart, while callers keep sending to them. No request that
// a stopping daemon has read may be aborted.
func TestStopUnderLoad(t *testing.T) {
	t.Parallel()
	d := deploy(t, plainService, plainService, keyedService)
	d.awaitServing()
	l := d.startLoad(12, d.nodes...)
	for _, n := range []*testNode{d.nodes[0], d.nodes[2]} {
		start := time.Now()
		n.stop()
		if err := <-n.done; err != nil {
			t.Errorf("stop of %s: %v", n.settings.Instance, err)
		}
		if took := time.Since(start); took > n.settings.GraceTime {
			t.Errorf("the stop of %s took %v of %v", n.settings.Instance, took, n.settings.GraceTime)
		}
		n.start(t)
	}
	l.finish(t)
	d.awaitServing()
}

// The store refuses or ignores the calls of one daemon. Other daemons relay for it, so
// it must still get new configurations, and its target must keep its keys.
func TestStoreRejectsOneDaemon(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]platformtest.Fault{"refuses": platformtest.Unavailable, "silent": platformtest.Hanging} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, keyedService, keyedService, plainService)
			d.awaitServing()
			isolated := d.nodes[0]
			d.store.SetFault(fault, isolated.settings.Store.Addr)
			d.configure("/late/")
			eventually(t, "the new route is served", func() bool {
				return isolated.call(http.MethodPost, "/late/a", newID(), platformtest.NoKey).Status == http.StatusOK
			})
			for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				for key := 100; key <= 65535; key += 8192 {
					if a := isolated.call(http.MethodGet, "/view/a", newID(), key); a.Status != http.StatusOK {
						t.Fatalf("key %d: %+v", key, a)
					}
				}
			}
		})
	}
}

// The store refuses all daemons for longer than a lease. All keys must stay served,
// since lease extensions between the daemons keep the leases.
func TestStoreUnreachable(t *testing.T) {
	t.Parallel()
	deploy(t, keyedService, keyedService, plainService).checkServedWithoutStore()
}

// The same in a store that has gone back before.
func TestStoreUnreachableInLaterEra(t *testing.T) {
	t.Parallel()
	deployInEra(t, keyedService, keyedService, plainService).checkServedWithoutStore()
}

// checkServedWithoutStore checks that all keys are served while the store refuses all
// daemons for longer than a lease.
func (d *deployment) checkServedWithoutStore() {
	d.t.Helper()
	d.awaitServing()
	d.store.SetFault(platformtest.Unavailable)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for key := 100; key <= 65535; key += 8192 {
			if a := d.nodes[2].call(http.MethodGet, "/view/a", newID(), key); a.Status != http.StatusOK {
				d.t.Fatalf("key %d: %+v", key, a)
			}
		}
	}
}

// A daemon and its target fail without notice. Others must take over its keys, and no
// key may be granted twice meanwhile.
func TestLostDaemonsKeysMove(t *testing.T) {
	t.Parallel()
	d := deploy(t, keyedService, keyedService, plainService)
	d.awaitServing()
	failed := d.nodes[0]
	failed.target.Stop()
	failed.daemon.server.Close() // closes its links; the daemon sends nothing more
	d.nodes = d.nodes[1:]
	t.Cleanup(func() { failed.stop(); <-failed.done })
	d.awaitServing()
	for key := int64(0); key <= 65535; key += 512 {
		if failed.target.Holds(key) && d.nodes[0].target.Holds(key) {
			t.Fatalf("key %d is held twice", key)
		}
	}
}

// Heartbeats that the target did not send must be refused and change nothing.
func TestForgedHeartbeats(t *testing.T) {
	t.Parallel()
	d := deploy(t, keyedService, plainService)
	d.awaitServing()
	n := d.nodes[1]
	for name, body := range platformtest.InvalidHeartbeats(plainService, n.target.Addr) {
		status, err := platformtest.SendHeartbeat(n.settings.ControlAddr, "t-forged", body)
		if err != nil || status != http.StatusBadRequest {
			t.Errorf("%s: answered with %d, %v", name, status, err)
		}
	}
	if a := n.call(http.MethodPost, "/book/a", newID(), platformtest.NoKey); a.Status != http.StatusOK {
		t.Errorf("after forged heartbeats: %+v", a)
	}
	n.target.Stop()
	if err := n.target.Start(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the heartbeats of the next target count", func() bool { return n.target.SendHeartbeat() == nil && n.targetState() == fleet.TargetReady })
}

// A target announces that it leaves. Its keys must move, and nothing may be sent to it
// later than the drain time after the acknowledgement.
func TestDrainedTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	d := deploy(t, keyedService, keyedService, plainService, plainService)
	d.awaitServing()
	l := d.startLoad(6, d.nodes[2:]...)
	leaving := d.nodes[2]
	leaving.target.Drain()
	if err := leaving.target.SendHeartbeat(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(leaving.settings.DrainTime)
	before := l.sent.Load()
	eventually(t, "more requests are sent", func() bool { return l.sent.Load() > before+50 })
	l.finish(t)
	id := newID()
	if a := leaving.call(http.MethodPost, "/book/late", id, platformtest.NoKey); a.Status != http.StatusOK {
		t.Errorf("beside a drained target: %+v", a)
	}
	if runs := d.records.ByRequest(id); len(runs) != 1 || runs[0].Target == leaving.target.ID {
		t.Errorf("runs %+v", runs)
	}
}

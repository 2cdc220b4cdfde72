package sidecar

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// A call of an urgent run waited behind requests that are less urgent than the run. It has the
// priority of the run that makes it, ahead of other requests of that priority, unless its own route
// is more urgent, as one without a priority is; an id that names no run in progress claims nothing.
func TestCallHasThePriorityAndDeadlineOfItsRun(t *testing.T) {
	t.Parallel()
	for priority, want := range map[string][]string{
		"3":    {"urgent", "call", "same", "call of no run"},
		"null": {"call", "call of no run", "urgent", "same"},
	} {
		t.Run("priority of the route "+priority, func(t *testing.T) {
			t.Parallel()
			checkOrderOfCalls(t, priority, want)
		})
	}
}

// checkOrderOfCalls checks the order in which a target runs requests that wait: a call of a run of
// priority 2, on a route of a priority, and others.
func checkOrderOfCalls(t *testing.T, priority string, want []string) {
	t.Helper()
	const runTime = 1500 * time.Millisecond
	d := deployWith(t, func(n *testNode) {
		n.target.ProcessingTime = 20 * time.Millisecond
		if n.settings.Service == keyedService {
			n.target.ProcessingTime = runTime
		} else {
			n.target.Slots = 1
		}
	}, keyedService, plainService)
	d.configureRoutes(
		platformtest.Route{Prefix: "/run/", Service: keyedService, Priority: "2", TimeoutMS: 4000, LatencyMS: 3000},
		platformtest.Route{Prefix: "/call/", Service: plainService, Priority: priority, LatencyMS: 1500},
		platformtest.Route{Prefix: "/urgent/", Service: plainService, Priority: "1", LatencyMS: 1500},
		platformtest.Route{Prefix: "/same/", Service: plainService, Priority: "2", LatencyMS: 1500})
	caller, callee := d.nodes[0], d.nodes[1]
	caller.awaitUnkeyedServing(t)
	eventually(t, "the routes are in force and the key is owned", func() bool {
		return caller.call(http.MethodPost, "/call/a", newID(), platformtest.NoKey).Status == http.StatusOK &&
			caller.call(http.MethodPost, "/run/a", newID(), 7).Status == http.StatusOK
	})
	run := newID()
	var all sync.WaitGroup
	defer all.Wait()
	all.Go(func() {
		if a := caller.call(http.MethodPost, "/run/a", run, 7); a.Status != http.StatusOK {
			t.Errorf("the run got %+v", a)
		}
	})
	eventually(t, "the run is in progress", func() bool { return d.countRun([]string{run}) == 1 })
	callee.daemon.backend.holdQueue()
	ids := map[string]string{"same": newID(), "call of no run": newID() + ".c1", "urgent": newID(), "call": run + ".c1"}
	for _, name := range []string{"same", "call", "urgent", "call of no run"} {
		path := map[string]string{"same": "/same/a", "urgent": "/urgent/a"}[name]
		if path == "" {
			path = "/call/a"
		}
		all.Go(func() {
			if a := caller.call(http.MethodPost, path, ids[name], platformtest.NoKey); a.Status != http.StatusOK {
				t.Errorf("%s got %+v", name, a)
			}
		})
		eventually(t, name+" waits", func() bool {
			_, waiting, _ := callee.daemon.backend.requests()
			return waiting > slices.Index([]string{"same", "call", "urgent", "call of no run"}, name)
		})
	}
	callee.daemon.backend.resumeQueue()
	eventually(t, "all have run", func() bool { return len(d.order(ids)) == len(want) })
	if got := d.order(ids); !slices.Equal(got, want) {
		t.Errorf("order %q, want %q", got, want)
	}
}

// order returns the names of requests in the order in which they were run.
func (d *deployment) order(ids map[string]string) []string {
	var names []string
	for _, r := range d.records.Runs() {
		for name, id := range ids {
			if r.RequestID == id {
				names = append(names, name)
			}
		}
	}
	return names
}

// A call went on after the deadline of its run, when nobody could use its response.
func TestCallEndsWithItsRun(t *testing.T) {
	t.Parallel()
	const runDeadline = 600 * time.Millisecond
	d := deployWith(t, func(n *testNode) {
		if n.settings.Service == keyedService {
			n.target.ProcessingTime = 2 * time.Second
		}
	}, keyedService, plainService)
	caller, callee := d.nodes[0], d.nodes[1]
	caller.awaitUnkeyedServing(t)
	eventually(t, "the key is owned", func() bool {
		return caller.call(http.MethodGet, "/view/a", newID(), 7).Status != http.StatusServiceUnavailable
	})
	run := newID()
	started := time.Now()
	var all sync.WaitGroup
	defer all.Wait()
	all.Go(func() {
		_, _, _ = platformtest.RawCall(caller.settings.CallerAddr, platformtest.Head(host, http.MethodGet, "/view/a", run,
			fmt.Sprintf("%s: %d\r\n%s: 7\r\n", platformtest.DeadlineHeader, runDeadline.Milliseconds(), platformtest.KeyHeader)))
	})
	eventually(t, "the run is in progress", func() bool { return d.countRun([]string{run}) == 1 })
	callee.daemon.backend.holdQueue()
	status, _, err := platformtest.RawCall(caller.settings.CallerAddr, platformtest.Head(host, http.MethodPost, "/book/a", run+".1",
		"Content-Length: 0\r\n"+platformtest.DeadlineHeader+": 1900\r\n"))
	if took := time.Since(started); err != nil || status != http.StatusServiceUnavailable || took > runDeadline+latestAnswer {
		t.Errorf("the call ended with %d, %v, %v after the start of its run; want 503 by the run's deadline of %v", status, err, took, runDeadline)
	}
	callee.daemon.backend.resumeQueue()
}

// The header that marks a call between daemons must not reach a target, and not be taken from
// a caller.
func TestRunCallHeaderStaysBetweenDaemons(t *testing.T) {
	t.Parallel()
	d, target := deployScripted(t)
	run := newID()
	go func() { _ = d.nodes[0].call(http.MethodPost, hangingPath, run, platformtest.NoKey) }()
	eventually(t, "the run is in progress", func() bool { return target.requests(run) == 1 })
	for i, n := range d.nodes { // over a link, and at the target's own instance
		for _, id := range []string{newID(), fmt.Sprintf("%s.%d", run, i)} {
			n.rawCall(t, platformtest.Head(host, http.MethodPost, "/book/a", id, "Content-Length: 0\r\nPARSLEY-run-call: 1\r\n"))
			if got := target.header(id); got == nil || got.Get(string(runCallHeader)) != "" {
				t.Errorf("request %s has the header %v at its target", id, got)
			}
		}
	}
	if m := d.nodes[1].metrics(t); !strings.Contains(m, "parsley_run_calls_total 1\n") {
		t.Error("one request, at the instance of its run, is a call of a run")
	}
}

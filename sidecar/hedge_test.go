package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/callerhttp"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/platform/platformtest"
	"github.com/parsleystack/parsleystack/resend"
	"github.com/parsleystack/parsleystack/wire"
)

const (
	// usualTime is how long quick targets take, and slowTime how long slow ones do.
	usualTime = 20 * time.Millisecond
	slowTime  = 900 * time.Millisecond
	// quickRequests is the number of requests that are served before a target becomes slow.
	quickRequests = 60
	// observed is the number of response times that an entry knows by then, enough for a delay
	// and as many copies as an entry saves.
	observed = 1000
)

// deployHedged starts an entry without a target of plainService, one with a target of it in the
// same zone, and one with a target elsewhere, which is chosen last. At most share of the
// requests get a second copy, after about 25 ms.
func deployHedged(t *testing.T, share float64, route platformtest.Route) *deployment {
	t.Helper()
	d := deployWith(t, func(n *testNode) {
		n.settings.HedgeShare = share
		n.target.ProcessingTime = usualTime
		if n.settings.Instance == "node-2" {
			n.settings.Zone, n.target.Zone = "far", "far"
		}
	}, keyedService, plainService, plainService)
	d.configureRoutes(route)
	for _, n := range d.nodes {
		n.awaitUnkeyedServing(t)
		eventually(t, "the route is served", func() bool {
			return n.call(http.MethodGet, route.Prefix+"a", newID(), platformtest.NoKey).Status == http.StatusOK
		})
		n.awaitPeers(t, 2)
		n.observeQuick()
	}
	for range quickRequests { // the targets' response times must be known before one becomes slow
		d.nodes[1].call(http.MethodGet, route.Prefix+"a", newID(), platformtest.NoKey)
	}
	return d
}

// slow makes the target of the node slow.
func (n *testNode) slow(t *testing.T) {
	t.Helper()
	if err := n.target.Behave(platformtest.Behavior{Delay: slowTime}); err != nil {
		t.Fatal(err)
	}
}

// observeQuick lets the daemon observe quick responses on all of its routes.
func (n *testNode) observeQuick() {
	h := n.daemon.ingress.hedges
	if h == nil {
		return
	}
	for _, name := range n.routeNames() {
		for range observed {
			h.countRequest()
			h.observe(name, usualTime)
		}
	}
}

// routeNames returns the names of the routes in force.
func (n *testNode) routeNames() []string {
	var names []string
	for _, uri := range []string{"/list/a", "/change/a"} {
		if r, ok := n.daemon.control.view.Load().routes.Lookup(host, uri); ok {
			names = append(names, r.Name)
		}
	}
	return names
}

// count returns a counter of the daemon.
func (n *testNode) count(name string) uint64 {
	return n.daemon.metrics.set.GetOrCreateCounter(name).Get()
}

var listRoute = platformtest.Route{Prefix: "/list/", Idempotent: true, Service: plainService}

// Guards against requests that wait for a slow target while another one is free, and against
// copies that go on at their target after the other one was answered.
func TestSecondCopyIsAnsweredFirst(t *testing.T) {
	t.Parallel()
	d := deployHedged(t, 1, listRoute)
	entry, slow := d.nodes[0], d.nodes[1]
	slow.slow(t)
	won := entry.count(metricHedgeWon)
	eventually(t, "a second copy was answered first", func() bool {
		id, began := newID(), time.Now()
		a := entry.call(http.MethodGet, "/list/a", id, platformtest.NoKey)
		took := time.Since(began)
		if a.Status != http.StatusOK || !strings.Contains(a.Body, id) {
			t.Fatalf("%s: status %d, body %q", id, a.Status, a.Body)
		}
		if entry.count(metricHedgeWon) == won {
			return false
		}
		if took >= slowTime {
			t.Errorf("the response took %v", took)
		}
		return true
	})
	answered := time.Now()
	eventually(t, "the first copy has ended", func() bool {
		running, waiting, _ := slow.daemon.backend.requests()
		return running+waiting == 0
	})
	if took := time.Since(answered); took > cancellationBound {
		t.Errorf("the first copy was in progress for %v after the response", took)
	}
	if slow.count(metricCanceledSent) == 0 {
		t.Error("no request was canceled at the slow target")
	}
}

// Guards against a first copy at the daemon's own target that keeps the response of the second
// one back, or goes on after it.
func TestSecondCopyOfRequestAtOwnTarget(t *testing.T) {
	t.Parallel()
	d := deployHedged(t, 1, listRoute)
	d.nodes[1].slow(t)
	entry := d.nodes[1]
	won := entry.count(metricHedgeWon)
	for range 10 {
		other := entry.daemon.control.view.Load().services[plainService].byName["node-2"]
		other.load.latencyRatio.Store(ratioScale) // so that the own target is chosen first
		id := newID()
		if a := entry.call(http.MethodGet, "/list/a", id, platformtest.NoKey); a.Status != http.StatusOK || !strings.Contains(a.Body, id) {
			t.Fatalf("%s: status %d, body %q", id, a.Status, a.Body)
		}
	}
	if entry.count(metricHedgeWon) == won {
		t.Error("no second copy was answered first beside the slow target")
	}
	for _, n := range d.nodes {
		eventually(t, "no request is in progress", func() bool {
			running, waiting, _ := n.daemon.backend.requests()
			return running+waiting == 0
		})
	}
}

// Guards against a second copy of a request that must not have one: not idempotent, keyed, or
// without a share.
func TestRequestsWithoutSecondCopy(t *testing.T) {
	t.Parallel()
	d := deployHedged(t, 1, platformtest.Route{Prefix: "/change/", Service: plainService})
	entry := d.nodes[0]
	d.awaitServing()
	d.nodes[1].slow(t)
	sent := entry.count(metricHedgeSent)
	for range 10 {
		ids := []string{newID(), newID()}
		if a := entry.call(http.MethodPost, "/change/a", ids[0], platformtest.NoKey); a.Status != http.StatusOK {
			t.Errorf("status %d", a.Status)
		}
		if a := entry.call(http.MethodGet, "/view/a", ids[1], 7); a.Status != http.StatusOK {
			t.Errorf("status %d", a.Status)
		}
		if run := d.countRun(ids); run != len(ids) {
			t.Errorf("%d runs of %d requests", run, len(ids))
		}
	}
	if n := entry.count(metricHedgeSent) - sent; n > 0 {
		t.Errorf("%d copies were sent", n)
	}
}

// Guards against second copies that are not turned on.
func TestNoSecondCopyByDefault(t *testing.T) {
	t.Parallel()
	d := deployHedged(t, 0, listRoute)
	entry := d.nodes[0]
	if entry.daemon.ingress.hedges != nil {
		t.Fatal("second copies are decided on")
	}
	d.nodes[1].slow(t)
	id := newID()
	if a := entry.call(http.MethodGet, "/list/a", id, platformtest.NoKey); a.Status != http.StatusOK || d.countRun([]string{id}) != 1 {
		t.Errorf("status %d, %d runs", a.Status, d.countRun([]string{id}))
	}
	if strings.Contains(entry.metrics(t), "parsley_hedges_total") {
		t.Error("the metrics have second copies")
	}
}

// Guards against a caller that leaves while both copies are in progress: both must be canceled.
func TestBothCopiesEndWithTheirCaller(t *testing.T) {
	t.Parallel()
	d := deployHedged(t, 1, listRoute)
	entry := d.nodes[0]
	for _, n := range d.nodes[1:] {
		n.holdTarget()
	}
	conn, err := net.Dial("tcp", entry.settings.CallerAddr)
	if err != nil {
		t.Fatal(err)
	}
	sent := entry.count(metricHedgeSent)
	if _, err := conn.Write([]byte(head(http.MethodGet, "/list/a", ""))); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a second copy was sent", func() bool { return entry.count(metricHedgeSent) > sent })
	left := time.Now()
	_ = conn.Close()
	eventually(t, "no copy is in progress", func() bool {
		total := entry.daemon.ingress.inFlight()
		for _, n := range d.nodes[1:] {
			running, waiting, _ := n.daemon.backend.requests()
			total += running + waiting
		}
		return total == 0
	})
	if took := time.Since(left); took > cancellationBound {
		t.Errorf("the copies were in progress for %v after their caller left", took)
	}
	for _, n := range d.nodes[1:] {
		n.resumeTarget()
	}
	if a := entry.call(http.MethodGet, "/list/a", newID(), platformtest.NoKey); a.Status != http.StatusOK {
		t.Errorf("status %d afterwards", a.Status)
	}
}

// holdTarget keeps requests in the queue before the target.
func (n *testNode) holdTarget() { n.daemon.backend.holdQueue() }

func (n *testNode) resumeTarget() { n.daemon.backend.resumeQueue() }

// Guards against responses that reach another caller, or memory of a request that is used after
// its response: many requests with bodies at the same time, of which about half get a copy.
// The race detector finds state that the copies share.
func TestConcurrentSecondCopies(t *testing.T) {
	t.Parallel()
	d := deployHedged(t, 1, listRoute)
	d.nodes[1].slow(t)
	var wg sync.WaitGroup
	for i := range 8 {
		entry := d.nodes[i%len(d.nodes)]
		wg.Go(func() {
			for range 15 {
				id := newID()
				a := entry.call(http.MethodGet, fmt.Sprintf("/list/%s", id), id, platformtest.NoKey)
				if a.Status == http.StatusOK && !strings.Contains(a.Body, id) {
					t.Errorf("%s: body %q", id, a.Body)
				}
				if a.Status != http.StatusOK && a.Status != http.StatusServiceUnavailable {
					t.Errorf("%s: status %d", id, a.Status)
				}
			}
		})
	}
	wg.Wait()
	sent, decided := uint64(0), uint64(0)
	for _, n := range d.nodes {
		sent += n.count(metricHedgeSent)
		decided += n.count(metricHedgeWon) + n.count(metricHedgeCanceled) + n.count(metricHedgeFailed)
	}
	if sent == 0 || sent != decided {
		t.Errorf("%d copies were sent, and %d were answered first, canceled or failed", sent, decided)
	}
}

// Guards against copies beyond the operators' limit.
func TestLimitOfSecondCopies(t *testing.T) {
	t.Parallel()
	d := deployHedged(t, 0.01, listRoute)
	entry := d.nodes[0]
	const requests = 40
	d.nodes[1].slow(t)
	sent := entry.count(metricHedgeSent)
	for range requests {
		if a := entry.call(http.MethodGet, "/list/a", newID(), platformtest.NoKey); a.Status != http.StatusOK {
			t.Errorf("status %d", a.Status)
		}
	}
	if n := entry.count(metricHedgeSent) - sent; n > 6 { // five that were saved, and one by these requests
		t.Errorf("%d copies of %d requests", n, requests)
	}
}

// Guards against a copy that ends with the other one when that fails: the connections of one
// target are reset while both copies are in progress.
func TestFailureOfOneCopyDoesNotEndTheOther(t *testing.T) {
	t.Parallel()
	for name, failing := range map[string]int{"first copy": 1, "second copy": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deployHedged(t, 1, listRoute)
			entry := d.nodes[0]
			for _, n := range d.nodes[1:] {
				n.slow(t)
			}
			id, sent := newID(), entry.count(metricHedgeSent)
			answer := make(chan platformtest.Answer)
			go func() { answer <- entry.call(http.MethodGet, "/list/a", id, platformtest.NoKey) }()
			eventually(t, "both copies run", func() bool {
				return entry.count(metricHedgeSent) > sent && d.countRun([]string{id}) == 2
			})
			if err := d.nodes[failing].target.Behave(platformtest.Behavior{Delay: slowTime, RefusesConnections: true}); err != nil {
				t.Fatal(err)
			}
			if a := <-answer; a.Status != http.StatusOK || !strings.Contains(a.Body, id) {
				t.Errorf("status %d, body %q", a.Status, a.Body)
			}
			if run := d.countRun([]string{id}); run != 2 {
				t.Errorf("%d runs", run)
			}
		})
	}
}

// Guards against copies beyond the retry budget of the service.
func TestSecondCopiesCountInRetryBudget(t *testing.T) {
	t.Parallel()
	d := deployHedged(t, 1, listRoute)
	in := d.nodes[0].daemon.ingress
	in.mu.Lock()
	in.budgets[plainService] = resend.NewBudget(resend.Limits{Slack: 3, Window: time.Minute})
	in.mu.Unlock()
	for _, n := range d.nodes[1:] {
		n.slow(t)
	}
	sent := d.nodes[0].count(metricHedgeSent)
	for range 5 {
		d.nodes[0].call(http.MethodGet, "/list/a", newID(), platformtest.NoKey)
	}
	if n := d.nodes[0].count(metricHedgeSent) - sent; n > 3 {
		t.Errorf("%d copies within a budget of 3", n)
	}
	if refused := d.nodes[0].count(`parsley_hedges_total{result="refused_budget"}`); refused < 2 {
		t.Errorf("%d copies were refused for the budget", refused)
	}
}

// Guards against an entry that goes on to choose a target which has just left a request
// unanswered, and against one that takes a quicker time for a slower one.
func TestRaiseLatencyUntilTheNextReport(t *testing.T) {
	l := new(targetLoad)
	l.report(&fleet.Load{LatencyRatio: 0.1})
	for _, tc := range []struct {
		took time.Duration
		want uint64
	}{{50 * time.Millisecond, 100}, {300 * time.Millisecond, 300}, {200 * time.Millisecond, 300}} {
		if l.raiseLatency(tc.took, time.Second); l.latencyRatio.Load() != tc.want {
			t.Errorf("after %v: %d, want %d", tc.took, l.latencyRatio.Load(), tc.want)
		}
	}
	l.raiseLatency(time.Second, 0)
	if l.report(&fleet.Load{LatencyRatio: 0.1}); l.latencyRatio.Load() != 100 {
		t.Errorf("after a report: %d", l.latencyRatio.Load())
	}
}

// Guards against a response of one copy that is taken although the other one has a better one,
// and against one that is lost: a target's 5xx counts only if there is no other response.
func TestWhichCopyHasTheResponse(t *testing.T) {
	done := func(status int) (resend.Attempt, wire.Response) {
		return resend.Attempt{Result: outcome.Result{Kind: outcome.Done}, Reached: true}, wire.Response{Kind: outcome.Done, Status: uint16(status)}
	}
	refused := func(int) (resend.Attempt, wire.Response) {
		return resend.Attempt{Result: outcome.Result{Kind: outcome.NotRun, Reason: outcome.Overloaded}}, wire.Response{Kind: outcome.NotRun}
	}
	type result func(int) (resend.Attempt, wire.Response)
	for name, tc := range map[string]struct {
		first, second       result
		firstCode, copyCode int
		running             bool // the copy has not ended
		copyFirst           bool
		want                int // status of the response
	}{
		"both answered, the copy is late":       {done, done, 200, 200, true, false, 200},
		"the first failed, the copy answered":   {refused, done, 0, 200, false, true, 200},
		"the first has 500, the copy answered":  {done, done, 500, 200, false, true, 200},
		"both have a 5xx":                       {done, done, 500, 503, false, false, 500},
		"the first has 500, the copy failed":    {done, refused, 500, 0, false, false, 500},
		"the first failed, the copy has 500":    {refused, done, 0, 500, false, true, 500},
		"the first answered, the copy has 500":  {done, done, 404, 500, false, false, 404},
		"the first answered, the copy failed":   {done, refused, 200, 0, false, false, 200},
		"both failed":                           {refused, refused, 0, 0, false, false, 0},
		"the first has 500, the copy goes on":   {done, done, 500, 200, true, true, 200},
		"the first failed, the copy goes on":    {refused, done, 0, 200, true, true, 200},
		"the first failed, the copy then fails": {refused, refused, 0, 0, true, false, 0},
	} {
		in := &ingress{d: &Daemon{metrics: newMetricSet(), log: zap.NewNop()}}
		f := newCallerRequest(in, new(callerhttp.Exchange))
		g := newCallerRequest(in, new(callerhttp.Exchange))
		g.lastTarget = new(targetView)
		c := &requestCopy{first: f, second: g, done: make(chan struct{})}
		a, firstResponse := tc.first(tc.firstCode)
		f.resp = firstResponse
		end := func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.attempt, g.resp = tc.second(tc.copyCode)
			c.ended = true
			close(c.done)
		}
		switch {
		case !tc.running:
			end()
		case !usable(&a, &f.resp):
			time.AfterFunc(time.Millisecond, end)
		}
		b, copyFirst := c.conclude(&a)
		if copyFirst != tc.copyFirst || int(f.resp.Status) != tc.want || (b == nil) != (tc.running && usable(&a, &f.resp) && !copyFirst) {
			t.Errorf("%s: the copy's response is taken: %t, status %d, attempt %v", name, copyFirst, f.resp.Status, b)
		}
	}
}

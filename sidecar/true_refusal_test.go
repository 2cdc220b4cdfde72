package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/platform/platformtest"
	"github.com/parsleystack/parsleystack/resend"
	"github.com/parsleystack/parsleystack/wire"
)

// latestAnswer is the time after its deadline within which a request must be answered.
const latestAnswer = 250 * time.Millisecond

// callAnswer is the result of one request of callAll.
type callAnswer struct {
	id     string
	status int
	took   time.Duration
}

// callAll sends requests that are not idempotent through a daemon at the same time.
func (n *testNode) callAll(t *testing.T, requests int, deadline time.Duration) []callAnswer {
	t.Helper()
	answers := make([]callAnswer, requests)
	var all sync.WaitGroup
	for i := range answers {
		a := &answers[i]
		a.id = newID()
		all.Go(func() {
			started := time.Now()
			status, _, err := platformtest.RawCall(n.settings.CallerAddr, platformtest.Head(host, http.MethodPost, "/book/a", a.id,
				fmt.Sprintf("Content-Length: 0\r\n%s: %d\r\n", platformtest.DeadlineHeader, deadline.Milliseconds())))
			if err != nil {
				t.Error(err)
			}
			a.status, a.took = status, time.Since(started)
		})
	}
	all.Wait()
	return answers
}

// checkNotRun checks that requests which have reached no target were refused in time.
func (d *deployment) checkNotRun(answers []callAnswer, within time.Duration) {
	d.t.Helper()
	statuses := make(map[int]int)
	for _, a := range answers {
		statuses[a.status]++
		if runs := len(d.records.ByRequest(a.id)); runs > 0 {
			d.t.Errorf("request %s was run %d times; the test is for requests that reach no target", a.id, runs)
		}
		if a.took > within {
			d.t.Errorf("request %s was answered after %v, want %v", a.id, a.took, within)
		}
	}
	if statuses[http.StatusServiceUnavailable] != len(answers) {
		d.t.Errorf("requests by status: %v; want 503 for all, as none has reached a target", statuses)
	}
}

// Requests that waited in the queue of another daemon at their deadline ended with 504, which
// does not guarantee that they have not run.
func TestRequestThatWaitsAtItsDeadlineIsRefused(t *testing.T) {
	t.Parallel()
	const deadline = 300 * time.Millisecond
	d := deploy(t, keyedService, plainService)
	entry, owner := d.nodes[0], d.nodes[1]
	entry.awaitUnkeyedServing(t)
	owner.daemon.backend.holdQueue()
	d.checkNotRun(entry.callAll(t, 20, deadline), deadline+latestAnswer)
}

// Requests that waited in the queue of another daemon when their entry ended its requests
// because of a stop got 502.
func TestRequestThatWaitsWhenItsEntryStopsIsRefused(t *testing.T) {
	t.Parallel()
	const requests, stopAfter = 20, 400 * time.Millisecond
	d := deploy(t, keyedService, plainService)
	entry, owner := d.nodes[0], d.nodes[1]
	entry.awaitUnkeyedServing(t)
	owner.daemon.backend.holdQueue()
	aborted := make(chan int, 1)
	time.AfterFunc(stopAfter, func() { aborted <- entry.daemon.ingress.abortAll(errStopping) })
	answers := entry.callAll(t, requests, 2*time.Second)
	if n := <-aborted; n != requests {
		t.Fatalf("%d of %d requests were in progress at the stop", n, requests)
	}
	d.checkNotRun(answers, stopAfter+latestAnswer)
}

// A request that its target has may have run: at its deadline and at a stop of its entry it
// must not get a status that guarantees the opposite.
func TestRequestThatRunsAtItsDeadlineIsNotRefused(t *testing.T) {
	t.Parallel()
	const deadline = 300 * time.Millisecond
	d := deployWith(t, func(n *testNode) { n.target.ProcessingTime = 700 * time.Millisecond }, keyedService, plainService)
	d.nodes[0].awaitUnkeyedServing(t)
	for _, node := range d.nodes { // over a link, and on the target's own instance
		a := node.callAll(t, 1, deadline)[0] // an idle target gets it although it is expected to be late
		if ran := len(d.records.ByRequest(a.id)) > 0; !ran || a.status != http.StatusGatewayTimeout || a.took > deadline+latestAnswer {
			t.Errorf("request %s has run: %t; got %d after %v, want 504 after %v", a.id, ran, a.status, a.took, deadline)
		}
	}
}

// A request that its target has refused without running it, or that could not be written to
// it, must end with 503, at the target's instance and at another entry.
func TestRequestThatNoTargetHasBegunIsRefused(t *testing.T) {
	t.Parallel()
	d, target := deployScripted(t)
	check := func(name string, received int) {
		t.Helper()
		for _, n := range d.nodes {
			id := newID()
			a := n.call(http.MethodPost, "/book/a", id, platformtest.NoKey)
			if a.Err != nil || a.Status != http.StatusServiceUnavailable || target.requests(id) != received {
				t.Errorf("%s: %+v, received %d times; want 503, received %d times", name, a, target.requests(id), received)
			}
		}
	}
	const empty = "Content-Length: 0\r\n\r\n"
	target.set("HTTP/1.1 421 x\r\nRequest-Id: ID\r\n" + empty)
	check("wrong target", 1)
	target.set("HTTP/1.1 503 x\r\nRequest-Id: ID\r\n" + platformtest.NotRunHeader + ": 1\r\nConnection: close\r\n" + empty)
	check("not executed", 1)
	_ = target.listener.Close()
	check("target refuses connections", 0)
	d.nodes[1].stop()
	<-d.nodes[1].done
	d.nodes[1].done <- nil // for close
	id := newID()
	if a := d.nodes[0].call(http.MethodPost, "/book/a", id, platformtest.NoKey); a.Status != http.StatusServiceUnavailable {
		t.Errorf("daemon of the target has ended: %+v, want 503", a)
	}
}

// A request that a target has refused just before its entry ended it is told when the target
// wants to be asked again, and counts as one that has reached a target.
func TestRefusalThatCrossesTheDeadline(t *testing.T) {
	for reason, reached := range map[outcome.Reason]bool{outcome.TargetShed: true, outcome.Overloaded: false} {
		ctx, cancel := context.WithCancelCause(context.Background())
		cancel(errTimeout)
		f := &callerRequest{ctx: ctx, resp: wire.Response{Kind: outcome.NotRun, Reason: reason, RetryAfter: 2 * time.Second}}
		want := resend.Attempt{Result: outcome.Result{Kind: outcome.NotRun, Reason: outcome.DeadlineExceeded, RetryAfter: 2 * time.Second}, Reached: reached}
		if a := f.attemptResult(); a != want {
			t.Errorf("%v: %+v, want %+v", reason, a, want)
		}
	}
}

package entry_test

import (
	"testing"

	"github.com/valyala/fasthttp"
)

func withKey(key string) map[string]string { return map[string]string{"Idempotency-Key": key} }

func TestRepeatGetsTheFirstAnswer(t *testing.T) {
	r := newFixture(t)
	r.target.setRun(func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set("X-Receipt", "r1")
		ctx.SetStatusCode(201)
		ctx.SetBodyString("paid")
	})
	for range 3 {
		got := r.entry.send(t, "POST", "/reports/k", withKey("once"))
		got.want(t, 201, "done", "")
		if got.body != "paid" || got.header("X-Receipt") != "r1" {
			t.Errorf("body %q, receipt %q", got.body, got.header("X-Receipt"))
		}
	}
	if n := r.target.runCount("POST /k"); n != 1 {
		t.Errorf("ran %d times, want once", n)
	}
	r.entry.send(t, "PUT", "/reports/k", withKey("once")).want(t, 400, "not-run", "bad-request")
}

func TestRepeatOfAnUnknownOutcomeIsRefused(t *testing.T) {
	r := newFixture(t)
	r.target.setRun(sendTruncated)
	r.entry.send(t, "POST", "/reports/k", withKey("once")).want(t, 502, "unknown", "connection-lost")
	r.entry.send(t, "POST", "/reports/k", withKey("once")).want(t, 409, "unknown", "duplicate")
	if n := r.target.runCount("POST /k"); n != 1 {
		t.Errorf("ran %d times, want once", n)
	}
}

func TestRepeatOfARefusedRequestRuns(t *testing.T) {
	r := newFixture(t)
	r.target.setRun(func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set("Parsley-Refused", "shed")
		ctx.SetStatusCode(503)
	})
	r.entry.send(t, "POST", "/reports/k", withKey("once")).want(t, 429, "not-run", "target-shed")
	r.target.setRun(func(ctx *fasthttp.RequestCtx) {})
	r.entry.send(t, "POST", "/reports/k", withKey("once")).want(t, 200, "done", "")
}

func TestRepeatInFlightIsRefused(t *testing.T) {
	r := newFixture(t)
	running, release := make(chan struct{}), make(chan struct{})
	r.target.setRun(func(ctx *fasthttp.RequestCtx) {
		close(running)
		<-release
	})
	first := make(chan reply)
	go func() { first <- r.entry.send(t, "POST", "/reports/k", withKey("once")) }()
	<-running
	got := r.entry.send(t, "POST", "/reports/k", withKey("once"))
	got.want(t, 409, "unknown", "duplicate")
	if got.retryAfter == "" {
		t.Error("no Retry-After")
	}
	close(release)
	(<-first).want(t, 200, "done", "")
}

// TestRepeatAtANewOwner guards against a second run after a change of owner: the
// new owner has no record of the first attempt, so it must refuse a request that
// is marked as a repeat. A first attempt runs.
func TestRepeatAtANewOwner(t *testing.T) {
	r := newFixture(t)
	headers := withKey("once")
	headers["Parsley-Attempt"] = "2"
	r.entry.send(t, "POST", "/reports/k", headers).want(t, 409, "unknown", "duplicate")
	headers["Parsley-Attempt"] = "1"
	r.entry.send(t, "POST", "/reports/k", headers).want(t, 200, "done", "")
}

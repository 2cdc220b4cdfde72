package entry_test

import (
	"testing"

	"github.com/valyala/fasthttp"
)

func withKey(key string) map[string]string { return map[string]string{"Idempotency-Key": key} }

func TestRepeatGetsTheFirstAnswer(t *testing.T) {
	r := newRig(t)
	r.target.setRun(func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set("X-Receipt", "r1")
		ctx.SetStatusCode(201)
		ctx.SetBodyString("paid")
	})
	for range 3 {
		got := r.door.do(t, "POST", "/reports/k", withKey("once"))
		got.want(t, 201, "done", "")
		if got.body != "paid" || got.header("X-Receipt") != "r1" {
			t.Errorf("body %q, receipt %q", got.body, got.header("X-Receipt"))
		}
	}
	if n := r.target.ran("POST /k"); n != 1 {
		t.Errorf("ran %d times, want once", n)
	}
	r.door.do(t, "PUT", "/reports/k", withKey("once")).want(t, 400, "not-run", "bad-request")
}

func TestRepeatOfAnUnknownOutcomeIsRefused(t *testing.T) {
	r := newRig(t)
	r.target.setRun(tear)
	r.door.do(t, "POST", "/reports/k", withKey("once")).want(t, 502, "unknown", "connection-lost")
	r.door.do(t, "POST", "/reports/k", withKey("once")).want(t, 409, "unknown", "duplicate")
	if n := r.target.ran("POST /k"); n != 1 {
		t.Errorf("ran %d times, want once", n)
	}
}

func TestRepeatOfARefusedRequestRuns(t *testing.T) {
	r := newRig(t)
	r.target.setRun(func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set("Parsley-Refused", "shed")
		ctx.SetStatusCode(503)
	})
	r.door.do(t, "POST", "/reports/k", withKey("once")).want(t, 429, "not-run", "target-shed")
	r.target.setRun(func(ctx *fasthttp.RequestCtx) {})
	r.door.do(t, "POST", "/reports/k", withKey("once")).want(t, 200, "done", "")
}

func TestRepeatInFlightIsRefused(t *testing.T) {
	r := newRig(t)
	running, release := make(chan struct{}), make(chan struct{})
	r.target.setRun(func(ctx *fasthttp.RequestCtx) {
		close(running)
		<-release
	})
	first := make(chan reply)
	go func() { first <- r.door.do(t, "POST", "/reports/k", withKey("once")) }()
	<-running
	got := r.door.do(t, "POST", "/reports/k", withKey("once"))
	got.want(t, 409, "unknown", "duplicate")
	if got.retryAfter == "" {
		t.Error("no Retry-After")
	}
	close(release)
	(<-first).want(t, 200, "done", "")
}

// TestRepeatAtANewOwner: a repeat that says so is refused by an owner that
// cannot know the first run; a first attempt runs.
func TestRepeatAtANewOwner(t *testing.T) {
	r := newRig(t)
	headers := withKey("once")
	headers["Parsley-Attempt"] = "2"
	r.door.do(t, "POST", "/reports/k", headers).want(t, 409, "unknown", "duplicate")
	headers["Parsley-Attempt"] = "1"
	r.door.do(t, "POST", "/reports/k", headers).want(t, 200, "done", "")
}

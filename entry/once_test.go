package entry_test

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/keyspace"
)

// fixture is an entry daemon, an owner daemon that holds the whole hash space,
// and its target.
type fixture struct {
	entry  *entryDaemon
	daemon *ownerDaemon
	target *fakeTarget
}

func newFixture(t testing.TB) *fixture {
	r := &fixture{target: newFakeTarget(t), entry: newEntryDaemon(t, nil, reports())}
	r.daemon = newOwnerDaemon(t, "a", reports(), r.target.addr, nil)
	r.daemon.setGrant(keyspace.Full(), 1, false)
	r.entry.router.MergeEntries("reports", r.daemon.routeEntry(keyspace.Full(), 1))
	return r
}

// sendTruncated closes the connection in the middle of a response.
func sendTruncated(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"))
	})
}

func TestTruncatedResponseIsUnknownAndNotRepeated(t *testing.T) {
	r := newFixture(t)
	r.target.setRun(sendTruncated)
	r.entry.send(t, "POST", "/reports/k", nil).want(t, 502, "unknown", "connection-lost")
	if n := r.target.runCount("POST /k"); n != 1 {
		t.Errorf("ran %d times, want once", n)
	}
}

func TestTruncatedResponseOfIdempotentRequestIsRepeated(t *testing.T) {
	r := newFixture(t)
	var calls atomic.Int32
	r.target.setRun(func(ctx *fasthttp.RequestCtx) {
		if calls.Add(1) == 1 {
			sendTruncated(ctx)
			return
		}
		ctx.SetBodyString("whole")
	})
	got := r.entry.send(t, "GET", "/reports/k", nil)
	got.want(t, 200, "done", "")
	if got.body != "whole" || calls.Load() != 2 {
		t.Errorf("body %q after %d calls", got.body, calls.Load())
	}
}

func TestCloseDelimitedResponseIsUnknown(t *testing.T) {
	r := newFixture(t)
	r.target.setRun(func(ctx *fasthttp.RequestCtx) {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) { _, _ = c.Write([]byte("HTTP/1.1 200 OK\r\n\r\nwhole or not")) })
	})
	r.entry.send(t, "POST", "/reports/k", nil).want(t, 502, "unknown", "connection-lost")
}

// TestSurplusAnswerIsNeverGivenToTheNextRequest guards against a response that
// reaches the wrong caller: a target sends two responses to one request, the
// second in the same segment or 20 ms later, and the connection is then reused.
func TestSurplusAnswerIsNeverGivenToTheNextRequest(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
	for _, method := range []string{"GET", "POST"} {
		for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
			r := newFixture(t)
			r.target.setRun(func(ctx *fasthttp.RequestCtx) {
				ctx.HijackSetNoResponse(true)
				ctx.Hijack(func(c net.Conn) {
					if pause == 0 {
						_, _ = c.Write([]byte(response + response))
					} else {
						_, _ = c.Write([]byte(response))
						time.Sleep(pause)
						_, _ = c.Write([]byte(response))
					}
					time.Sleep(time.Second)
				})
			})
			r.entry.send(t, method, "/reports/k", nil).want(t, 200, "done", "")
			time.Sleep(2*pause + time.Millisecond)
			r.target.setRun(func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("second") })
			if got := r.entry.send(t, method, "/reports/k", nil); got.body != "second" {
				t.Errorf("%s after %v: got the response %q of another request", method, pause, got.body)
			}
		}
	}
}

func TestTargetRefusals(t *testing.T) {
	r := newFixture(t)
	refuse := func(status int, refused string) {
		r.target.setRun(func(ctx *fasthttp.RequestCtx) {
			ctx.Response.Header.Set("Parsley-Refused", refused)
			ctx.Response.Header.Set("Retry-After", "3")
			ctx.SetStatusCode(status)
		})
	}
	refuse(503, "shed")
	got := r.entry.send(t, "POST", "/reports/shed", nil)
	got.want(t, 429, "not-run", "target-shed")
	if got.retryAfter != "3" {
		t.Errorf("Retry-After %q, want 3", got.retryAfter)
	}
	refuse(500, "shed")
	r.entry.send(t, "POST", "/reports/ran", nil).want(t, 500, "done", "")
	refuse(412, "stale-token")
	headers := map[string]string{"Parsley-Timeout-Ms": "1000"}
	r.entry.send(t, "POST", "/reports/stale", headers).want(t, 503, "not-run", "wrong-owner")
}

func TestDeadlineIsHandedToTheTarget(t *testing.T) {
	r := newFixture(t)
	release := make(chan struct{})
	defer close(release)
	r.target.setRun(func(ctx *fasthttp.RequestCtx) { <-release })
	headers := map[string]string{"Parsley-Timeout-Ms": "500"}
	r.entry.send(t, "POST", "/reports/k", headers).want(t, 504, "unknown", "deadline-exceeded")
	if n := r.target.runCount("POST /k"); n != 1 {
		t.Errorf("ran %d times, want once", n)
	}
}

func TestOwnerLostWhileRequestRuns(t *testing.T) {
	r := newFixture(t)
	running, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	r.target.setRun(func(ctx *fasthttp.RequestCtx) {
		close(running)
		<-release
	})
	go func() {
		<-running
		r.daemon.server.Close()
	}()
	r.entry.send(t, "POST", "/reports/k", nil).want(t, 502, "unknown", "connection-lost")
	if n := r.target.runCount("POST /k"); n != 1 {
		t.Errorf("ran %d times, want once", n)
	}
}

func TestLeaseThatEndsWhileTheRequestRunsMakesItUnknown(t *testing.T) {
	r := newFixture(t)
	r.target.setRun(func(ctx *fasthttp.RequestCtx) { r.daemon.leases.Store(nil) })
	r.entry.send(t, "POST", "/reports/k", nil).want(t, 502, "unknown", "lease-expired")
}

// TestRangeThatIsSplitWhileTheRequestRunsStaysOwned checks that a request is done,
// not of unknown outcome, if its range is split while it runs and the daemon keeps
// both parts.
func TestRangeThatIsSplitWhileTheRequestRunsStaysOwned(t *testing.T) {
	r := newFixture(t)
	r.target.setRun(func(ctx *fasthttp.RequestCtx) {
		halves := keyspace.Divide(2)
		first, second := r.daemon.holding(halves[0], 2, false), r.daemon.holding(halves[1], 3, false)
		r.daemon.leases.Store(append(r.daemon.leases.Holdings()[:0], first, second))
	})
	r.entry.send(t, "POST", "/reports/k", nil).want(t, 200, "done", "")
}

// TestTargetRestartLosesNoRequest guards against sending a request on an idle
// connection that the target has closed, which would make its outcome unknown.
func TestTargetRestartLosesNoRequest(t *testing.T) {
	r := newFixture(t)
	r.entry.send(t, "POST", "/reports/a", nil).want(t, 200, "done", "")
	r.target.setRun(func(ctx *fasthttp.RequestCtx) {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(c net.Conn) {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		})
	})
	r.entry.send(t, "POST", "/reports/b", nil).want(t, 200, "done", "")
	time.Sleep(20 * time.Millisecond) // the target closes the idle connection
	r.target.setRun(func(ctx *fasthttp.RequestCtx) {})
	r.entry.send(t, "POST", "/reports/c", nil).want(t, 200, "done", "")
}

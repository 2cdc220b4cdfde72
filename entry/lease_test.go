package entry_test

import (
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/owner"
)

// TestSuspensionBetweenCheckAndUse: the clock jumps past the lease after the
// request was admitted and before its bytes go out.
func TestSuspensionBetweenCheckAndUse(t *testing.T) {
	tgt := newFakeTarget(t)
	var readings atomic.Int32
	const beforeUse = 2 // readings at the acceptance and when the call is prepared
	d := newDaemon(t, "a", reports(), tgt.addr, func(c *owner.Config) {
		c.Now = func() clock.Time {
			if readings.Add(1) > beforeUse {
				return clock.Now().Add(2 * longLease)
			}
			return clock.Now()
		}
	})
	d.hold(keyspace.Full(), 1, false)
	e := newDoor(t, nil, reports())
	e.router.MergeEntries("reports", d.route(keyspace.Full(), 1))
	headers := map[string]string{"Parsley-Timeout-Ms": "1000"}
	e.do(t, "POST", "/reports/k", headers).want(t, 503, "not-run", "lease-expired")
	if n := tgt.ran("POST /k"); n != 0 {
		t.Errorf("ran %d times outside the lease", n)
	}
}

// TestSuspensionWhileTheTargetRuns: the lease has ended when the answer comes.
func TestSuspensionWhileTheTargetRuns(t *testing.T) {
	tgt := newFakeTarget(t)
	var suspended atomic.Bool
	d := newDaemon(t, "a", reports(), tgt.addr, func(c *owner.Config) {
		c.Now = func() clock.Time {
			if suspended.Load() {
				return clock.Now().Add(2 * longLease)
			}
			return clock.Now()
		}
	})
	tgt.setRun(func(ctx *fasthttp.RequestCtx) { suspended.Store(true) })
	d.hold(keyspace.Full(), 1, false)
	e := newDoor(t, nil, reports())
	e.router.MergeEntries("reports", d.route(keyspace.Full(), 1))
	e.do(t, "POST", "/reports/k", nil).want(t, 502, "unknown", "lease-expired")
}

// TestWaitingRequestIsNotSentFromARangeThatMoves: it waits for a slot when its
// range is released.
func TestWaitingRequestIsNotSentFromARangeThatMoves(t *testing.T) {
	spec := reports()
	spec.Slots = 1
	tgt := newFakeTarget(t)
	running, release := make(chan struct{}), make(chan struct{})
	tgt.setRun(func(ctx *fasthttp.RequestCtx) {
		close(running)
		<-release
	})
	d := newDaemon(t, "a", spec, tgt.addr, nil)
	d.hold(keyspace.Full(), 1, false)
	e := newDoor(t, nil, spec)
	e.router.MergeEntries("reports", d.route(keyspace.Full(), 1))
	first, second := make(chan reply, 1), make(chan reply, 1)
	go func() { first <- e.do(t, "POST", "/reports/first", nil) }()
	<-running
	go func() { second <- e.do(t, "POST", "/reports/second", map[string]string{"Parsley-Timeout-Ms": "3000"}) }()
	for d.owner.InFlight() < 2 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(10 * time.Millisecond)
	quiet := make(chan struct{})
	d.hold(keyspace.Full(), 1, true)
	d.leases.Quiesce(keyspace.Full(), func() { close(quiet) })
	close(release)
	(<-first).want(t, 200, "done", "")
	<-quiet
	(<-second).want(t, 503, "not-run", "moving")
	if n := tgt.ran("POST /second"); n != 0 {
		t.Errorf("ran %d times after its range was released", n)
	}
}

// TestDeadlineEndsBeforeTheLeaseOfAnUncheckedTarget: a target that does not
// check tokens is given no more time than the lease has, less the margin.
func TestDeadlineEndsBeforeTheLeaseOfAnUncheckedTarget(t *testing.T) {
	spec := reports()
	spec.Fenced = false
	tgt := newFakeTarget(t)
	tgt.setRun(func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.SetBytesV("X-Timeout", ctx.Request.Header.Peek("Parsley-Timeout-Ms"))
	})
	d := newDaemon(t, "a", spec, tgt.addr, func(c *owner.Config) { c.LeaseMargin = 30 * time.Second })
	holding := d.holding(keyspace.Full(), 1, false)
	holding.Expires = clock.Now().Add(31 * time.Second)
	d.leases.Store([]cell.Holding{holding})
	e := newDoor(t, nil, spec)
	e.router.MergeEntries("reports", d.route(keyspace.Full(), 1))
	got := e.do(t, "POST", "/reports/k", nil)
	got.want(t, 200, "done", "")
	if ms, err := strconv.Atoi(got.header("X-Timeout")); err != nil || ms > 1000 {
		t.Errorf("target was given %q ms, want at most 1000", got.header("X-Timeout"))
	}
	holding.Expires = clock.Now().Add(29 * time.Second)
	d.leases.Store([]cell.Holding{holding})
	e.do(t, "POST", "/reports/k", map[string]string{"Parsley-Timeout-Ms": "1000"}).want(t, 503, "not-run", "lease-expired")
}

// TestFullHoldQueueAnswersAtOnce: the request that gives way is answered long
// before its deadline.
func TestFullHoldQueueAnswersAtOnce(t *testing.T) {
	d := newDoor(t, nil, reports())
	small := newDoorWith(t, d.router, 1)
	first := make(chan reply, 1)
	go func() { first <- small.do(t, "POST", "/reports/a", map[string]string{"Parsley-Timeout-Ms": "1500"}) }()
	for small.gateway.Stats().Held() == 0 {
		time.Sleep(time.Millisecond)
	}
	got := small.do(t, "POST", "/reports/b", nil)
	got.want(t, 503, "not-run", "no-owner")
	if got.retryAfter == "" {
		t.Error("no Retry-After")
	}
	select {
	case <-first:
		t.Error("the request with the earlier deadline gave way")
	default:
	}
	(<-first).want(t, 503, "not-run", "no-owner")
}

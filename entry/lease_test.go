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

// TestSuspensionBetweenCheckAndUse guards against a run outside the lease: the
// instance is suspended after the request was admitted and before it is written
// to the target, so the clock jumps past the end of the lease.
func TestSuspensionBetweenCheckAndUse(t *testing.T) {
	tgt := newFakeTarget(t)
	var readings atomic.Int32
	const beforeUse = 2 // one reading when the grant is acquired, one when the call is prepared
	d := newOwnerDaemon(t, "a", reports(), tgt.addr, func(c *owner.Config) {
		c.Now = func() clock.Time {
			if readings.Add(1) > beforeUse {
				return clock.Now().Add(2 * longLease)
			}
			return clock.Now()
		}
	})
	d.setGrant(keyspace.Full(), 1, false)
	e := newEntryDaemon(t, nil, reports())
	e.router.MergeEntries("reports", d.routeEntry(keyspace.Full(), 1))
	headers := map[string]string{"Parsley-Timeout-Ms": "1000"}
	e.send(t, "POST", "/reports/k", headers).want(t, 503, "not-run", "lease-expired")
	if n := tgt.runCount("POST /k"); n != 0 {
		t.Errorf("ran %d times outside the lease", n)
	}
}

// TestSuspensionWhileTheTargetRuns checks that the outcome is unknown if the lease
// has ended when the target responds.
func TestSuspensionWhileTheTargetRuns(t *testing.T) {
	tgt := newFakeTarget(t)
	var suspended atomic.Bool
	d := newOwnerDaemon(t, "a", reports(), tgt.addr, func(c *owner.Config) {
		c.Now = func() clock.Time {
			if suspended.Load() {
				return clock.Now().Add(2 * longLease)
			}
			return clock.Now()
		}
	})
	tgt.setRun(func(ctx *fasthttp.RequestCtx) { suspended.Store(true) })
	d.setGrant(keyspace.Full(), 1, false)
	e := newEntryDaemon(t, nil, reports())
	e.router.MergeEntries("reports", d.routeEntry(keyspace.Full(), 1))
	e.send(t, "POST", "/reports/k", nil).want(t, 502, "unknown", "lease-expired")
}

// TestWaitingRequestIsNotSentFromARangeThatMoves guards against a run at the old
// owner: the request is queued for a slot while its range is released.
func TestWaitingRequestIsNotSentFromARangeThatMoves(t *testing.T) {
	spec := reports()
	spec.Slots = 1
	tgt := newFakeTarget(t)
	running, release := make(chan struct{}), make(chan struct{})
	tgt.setRun(func(ctx *fasthttp.RequestCtx) {
		close(running)
		<-release
	})
	d := newOwnerDaemon(t, "a", spec, tgt.addr, nil)
	d.setGrant(keyspace.Full(), 1, false)
	e := newEntryDaemon(t, nil, spec)
	e.router.MergeEntries("reports", d.routeEntry(keyspace.Full(), 1))
	first, second := make(chan reply, 1), make(chan reply, 1)
	go func() { first <- e.send(t, "POST", "/reports/first", nil) }()
	<-running
	go func() {
		second <- e.send(t, "POST", "/reports/second", map[string]string{"Parsley-Timeout-Ms": "3000"})
	}()
	for d.owner.InFlight() < 2 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(10 * time.Millisecond)
	quiesced := make(chan struct{})
	d.setGrant(keyspace.Full(), 1, true)
	d.leases.Quiesce(keyspace.Full(), func() { close(quiesced) })
	close(release)
	(<-first).want(t, 200, "done", "")
	<-quiesced
	(<-second).want(t, 503, "not-run", "moving")
	if n := tgt.runCount("POST /second"); n != 0 {
		t.Errorf("ran %d times after its range was released", n)
	}
}

// TestDeadlineEndsBeforeTheLeaseOfAnUncheckedTarget checks that a target that
// does not check fencing tokens gets a timeout that ends LeaseMargin before the
// lease does.
func TestDeadlineEndsBeforeTheLeaseOfAnUncheckedTarget(t *testing.T) {
	spec := reports()
	spec.Fenced = false
	tgt := newFakeTarget(t)
	tgt.setRun(func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.SetBytesV("X-Timeout", ctx.Request.Header.Peek("Parsley-Timeout-Ms"))
	})
	d := newOwnerDaemon(t, "a", spec, tgt.addr, func(c *owner.Config) { c.LeaseMargin = 30 * time.Second })
	holding := d.holding(keyspace.Full(), 1, false)
	holding.Expires = clock.Now().Add(31 * time.Second)
	d.leases.Store([]cell.Holding{holding})
	e := newEntryDaemon(t, nil, spec)
	e.router.MergeEntries("reports", d.routeEntry(keyspace.Full(), 1))
	got := e.send(t, "POST", "/reports/k", nil)
	got.want(t, 200, "done", "")
	if ms, err := strconv.Atoi(got.header("X-Timeout")); err != nil || ms > 1000 {
		t.Errorf("target got a timeout of %q ms, want at most 1000", got.header("X-Timeout"))
	}
	holding.Expires = clock.Now().Add(29 * time.Second)
	d.leases.Store([]cell.Holding{holding})
	e.send(t, "POST", "/reports/k", map[string]string{"Parsley-Timeout-Ms": "1000"}).want(t, 503, "not-run", "lease-expired")
}

// TestFullHoldQueueAnswersAtOnce checks that a request refused by a full hold
// queue is answered immediately, not at its deadline, and that the request with
// the later deadline is the one refused.
func TestFullHoldQueueAnswersAtOnce(t *testing.T) {
	d := newEntryDaemon(t, nil, reports())
	small := newEntryDaemonWithHoldLimit(t, d.router, 1)
	first := make(chan reply, 1)
	go func() { first <- small.send(t, "POST", "/reports/a", map[string]string{"Parsley-Timeout-Ms": "1500"}) }()
	for small.gateway.Stats().Held() == 0 {
		time.Sleep(time.Millisecond)
	}
	got := small.send(t, "POST", "/reports/b", nil)
	got.want(t, 503, "not-run", "no-owner")
	if got.retryAfter == "" {
		t.Error("no Retry-After")
	}
	select {
	case <-first:
		t.Error("the request with the earlier deadline was refused")
	default:
	}
	(<-first).want(t, 503, "not-run", "no-owner")
}

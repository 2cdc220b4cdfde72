package entry_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/owner"
	"github.com/parsleystack/parsleystack/route"
	"github.com/parsleystack/parsleystack/wire"
)

// unreachable is an address that nothing listens on.
const unreachable = "127.0.0.1:1"

// sourceFunc is a route.Source.
type sourceFunc func() []route.Entry

func (f sourceFunc) Refresh(context.Context, ident.Service, keyspace.Point) ([]route.Entry, error) {
	return f(), nil
}

func TestColdEntryFindsTheOwner(t *testing.T) {
	tgt := newFakeTarget(t)
	d := newDaemon(t, "a", reports(), tgt.addr, nil)
	d.hold(keyspace.Full(), 1, false)
	e := newDoor(t, sourceFunc(func() []route.Entry { return []route.Entry{d.route(keyspace.Full(), 1)} }), reports())
	e.do(t, "POST", "/reports/k", nil).want(t, 200, "done", "")
}

func TestRefusalNamesTheNewOwner(t *testing.T) {
	tgt := newFakeTarget(t)
	b := newDaemon(t, "b", reports(), tgt.addr, nil)
	b.hold(keyspace.Full(), 2, false)
	a := newDaemon(t, "a", reports(), tgt.addr, func(c *owner.Config) {
		c.Hints = func(keyspace.Point) (wire.Hint, bool) {
			return wire.Hint{Range: keyspace.Full(), Owner: b.node, Addr: b.addr, Zone: "z1", Token: cell.Token{Term: 1, Seq: 2}}, true
		}
	})
	e := newDoor(t, nil, reports())
	e.router.MergeEntries("reports", a.route(keyspace.Full(), 1))
	e.do(t, "POST", "/reports/k", nil).want(t, 200, "done", "")
	if held := e.gateway.Stats().Held(); held != 0 {
		t.Errorf("held %d times, want a redirect at once", held)
	}
	if n := tgt.ran("POST /k"); n != 1 {
		t.Errorf("ran %d times, want once", n)
	}
}

func TestRequestsAreHeldWhileTheirRangeMoves(t *testing.T) {
	tgt := newFakeTarget(t)
	a := newDaemon(t, "a", reports(), tgt.addr, nil)
	b := newDaemon(t, "b", reports(), tgt.addr, nil)
	a.hold(keyspace.Full(), 1, true)
	var moved atomic.Bool
	e := newDoor(t, sourceFunc(func() []route.Entry {
		if moved.Load() {
			return []route.Entry{b.route(keyspace.Full(), 2)}
		}
		return nil
	}), reports())
	e.router.MergeEntries("reports", a.route(keyspace.Full(), 1))
	time.AfterFunc(150*time.Millisecond, func() {
		b.hold(keyspace.Full(), 2, false)
		moved.Store(true)
	})
	e.do(t, "POST", "/reports/k", nil).want(t, 200, "done", "")
	if n := tgt.ran("POST /k"); n != 1 {
		t.Errorf("ran %d times, want once", n)
	}
}

func TestUnreachableOwnerIsReplaced(t *testing.T) {
	tgt := newFakeTarget(t)
	a := &daemon{node: ident.Node{Instance: "a", Incarnation: 1}, addr: unreachable}
	b := newDaemon(t, "b", reports(), tgt.addr, nil)
	b.hold(keyspace.Full(), 2, false)
	e := newDoor(t, sourceFunc(func() []route.Entry { return []route.Entry{b.route(keyspace.Full(), 2)} }), reports())
	e.router.MergeEntries("reports", a.route(keyspace.Full(), 1))
	e.do(t, "POST", "/reports/k", nil).want(t, 200, "done", "")
}

// TestHeldRequestsDoNotOverrunTheNewOwner holds far more than the new owner
// runs and queues; all are served.
func TestHeldRequestsDoNotOverrunTheNewOwner(t *testing.T) {
	const held = 600
	spec := reports()
	spec.QueueLimit = 120
	spec.Methods[1].Timeout = 30 * time.Second
	tgt := newFakeTarget(t)
	tgt.setRun(func(ctx *fasthttp.RequestCtx) { time.Sleep(time.Millisecond) })
	a := newDaemon(t, "a", spec, tgt.addr, nil)
	b := newDaemon(t, "b", spec, tgt.addr, nil)
	a.hold(keyspace.Full(), 1, true)
	var moved atomic.Bool
	e := newDoor(t, sourceFunc(func() []route.Entry {
		if moved.Load() {
			return []route.Entry{b.route(keyspace.Full(), 2)}
		}
		return nil
	}), spec)
	e.router.MergeEntries("reports", a.route(keyspace.Full(), 1))
	replies := make(chan reply, held)
	for range held {
		go func() { replies <- e.do(t, "POST", "/reports/k", nil) }()
	}
	for e.gateway.Stats().Held() < held {
		time.Sleep(time.Millisecond)
	}
	b.hold(keyspace.Full(), 2, false)
	moved.Store(true)
	for range held {
		(<-replies).want(t, 200, "done", "")
	}
}

// TestReadLeavesAFrozenOwner: an owner that is silent is replaced while it
// holds a read; the read goes to the new owner, a booking does not.
func TestReadLeavesAFrozenOwner(t *testing.T) {
	frozen, healthy := newFakeTarget(t), newFakeTarget(t)
	release := make(chan struct{})
	defer close(release)
	frozen.setRun(func(ctx *fasthttp.RequestCtx) { <-release })
	a := newDaemon(t, "a", reports(), frozen.addr, nil)
	b := newDaemon(t, "b", reports(), healthy.addr, nil)
	a.hold(keyspace.Full(), 1, false)
	b.hold(keyspace.Full(), 2, false)
	e := newDoor(t, sourceFunc(func() []route.Entry { return []route.Entry{b.route(keyspace.Full(), 2)} }), reports())
	e.router.MergeEntries("reports", a.route(keyspace.Full(), 1))
	booking := make(chan reply, 1)
	go func() { booking <- e.do(t, "POST", "/reports/k", nil) }()
	for frozen.ran("POST /k") == 0 {
		time.Sleep(time.Millisecond)
	}
	e.do(t, "GET", "/reports/k", nil).want(t, 200, "done", "")
	(<-booking).want(t, 504, "unknown", "deadline-exceeded")
	if n := healthy.ran("POST /k"); n != 0 {
		t.Errorf("the booking ran %d times at the new owner", n)
	}
}

func TestUndividedServiceAvoidsALostDaemon(t *testing.T) {
	tgt := newFakeTarget(t)
	halves := keyspace.Divide(2)
	a := &daemon{node: ident.Node{Instance: "a", Incarnation: 1}, addr: unreachable}
	b := newDaemon(t, "b", bookings(), tgt.addr, nil)
	b.hold(halves[1], 2, false)
	e := newDoor(t, nil, bookings())
	e.router.MergeEntries("bookings", a.route(halves[0], 1), b.route(halves[1], 2))
	for range 10 {
		e.do(t, "POST", "/bookings/x", nil).want(t, 200, "done", "")
	}
	if n := tgt.ran("POST /x"); n != 10 {
		t.Errorf("ran %d times, want 10", n)
	}
}

func TestRequestWithoutOwnerIsRefusedWithRetryAfter(t *testing.T) {
	e := newDoor(t, nil, reports())
	got := e.do(t, "POST", "/reports/k", map[string]string{"Parsley-Timeout-Ms": "500"})
	got.want(t, 503, "not-run", "no-owner")
	if got.retryAfter == "" {
		t.Error("no Retry-After")
	}
}

// TestPlannedStop drains a daemon under load: nothing is cut off and nothing
// is of unknown outcome.
func TestPlannedStop(t *testing.T) {
	tgt := newFakeTarget(t)
	tgt.setRun(func(ctx *fasthttp.RequestCtx) { time.Sleep(2 * time.Millisecond) })
	spec := bookings()
	spec.Slots, spec.QueueLimit = 32, 32
	halves := keyspace.Divide(2)
	a := newDaemon(t, "a", spec, tgt.addr, nil)
	b := newDaemon(t, "b", spec, tgt.addr, nil)
	a.hold(halves[0], 1, false)
	b.hold(halves[1], 2, false)
	e := newDoor(t, nil, spec)
	e.router.MergeEntries("bookings", a.route(halves[0], 1), b.route(halves[1], 2))

	stop := make(chan struct{})
	failed := make(chan reply, 1000)
	done := make(chan int)
	for range 8 {
		go func() {
			n := 0
			for {
				select {
				case <-stop:
					done <- n
					return
				default:
				}
				if got := e.do(t, "POST", "/bookings/x", nil); got.outcome != "done" {
					failed <- got
				}
				n++
			}
		}()
	}
	time.Sleep(50 * time.Millisecond)
	a.owner.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	if err := a.owner.Wait(ctx); err != nil {
		t.Errorf("wait: %v", err)
	}
	if err := a.server.Shutdown(ctx); err != nil {
		t.Errorf("shutdown: %v", err)
	}
	time.Sleep(50 * time.Millisecond)
	close(stop)
	total := 0
	for range 8 {
		total += <-done
	}
	close(failed)
	for got := range failed {
		t.Errorf("%d %s %s", got.status, got.outcome, got.reason)
	}
	if n := tgt.ran("POST /x"); n != total {
		t.Errorf("%d runs for %d requests", n, total)
	}
}

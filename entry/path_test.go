package entry_test

import (
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/keyspace"
)

func TestWholePath(t *testing.T) {
	tgt := newFakeTarget(t)
	tgt.setRun(func(ctx *fasthttp.RequestCtx) {
		h := &ctx.Request.Header
		ctx.Response.Header.Set("X-Seen", string(h.Peek("Parsley-Token"))+" "+string(h.Peek("Parsley-Range")))
		ctx.Response.Header.Set("X-Timeout", string(h.Peek("Parsley-Timeout-Ms")))
		ctx.SetStatusCode(201)
		ctx.SetBodyString(string(ctx.Method()) + " " + string(ctx.RequestURI()) + " " + string(ctx.PostBody()))
	})
	d := newOwnerDaemon(t, "a", reports(), tgt.addr, nil)
	d.setGrant(keyspace.Full(), 7, false)
	e := newEntryDaemon(t, nil, reports())
	e.router.MergeEntries("reports", d.routeEntry(keyspace.Full(), 7))

	got := e.send(t, "GET", "/reports/house-1/photos?size=2", map[string]string{"Parsley-Token": "9.9"})
	got.want(t, 201, "done", "")
	if got.body != "GET /house-1/photos?size=2 " {
		t.Errorf("target received %q", got.body)
	}
	if want := "1.7 0000000000000000-ffffffffffffffff"; got.header("X-Seen") != want {
		t.Errorf("grant headers %q, want %q", got.header("X-Seen"), want)
	}
	if n := tgt.runCount("GET /house-1/photos?size=2"); n != 1 {
		t.Errorf("ran %d times, want once", n)
	}
	if got.header("X-Timeout") == "" {
		t.Error("target received no timeout")
	}
}

func TestPathBelowThePrefixReachesTheTarget(t *testing.T) {
	tgt := newFakeTarget(t)
	d := newOwnerDaemon(t, "a", bookings(), tgt.addr, nil)
	d.setGrant(keyspace.Full(), 1, false)
	e := newEntryDaemon(t, nil, bookings())
	e.router.MergeEntries("bookings", d.routeEntry(keyspace.Full(), 1))
	for uri, want := range map[string]string{
		"/bookings": "/", "/bookings?a=b": "/?a=b", "/bookings/": "/", "/bookings/x%2Fy?a=b": "/x%2Fy?a=b",
	} {
		if got := e.send(t, "GET", uri, nil); got.body != "ok "+want {
			t.Errorf("%s: target responded %q, want it to receive %s", uri, got.body, want)
		}
	}
}

func TestUndividedServiceUsesAllDaemons(t *testing.T) {
	tgt := newFakeTarget(t)
	e := newEntryDaemon(t, nil, bookings())
	for i, r := range keyspace.Divide(3) {
		d := newOwnerDaemon(t, string(rune('a'+i)), bookings(), tgt.addr, nil)
		d.setGrant(r, uint64(i+1), false)
		e.router.MergeEntries("bookings", d.routeEntry(r, uint64(i+1)))
	}
	for range 30 {
		e.send(t, "GET", "/bookings/free", nil).want(t, 200, "done", "")
	}
}

func TestRefusedByGateway(t *testing.T) {
	e := newEntryDaemon(t, nil, reports())
	e.send(t, "GET", "/nothing/x", nil).want(t, 404, "not-run", "unknown-service")
	e.send(t, "GET", "/reports/", nil).want(t, 400, "not-run", "bad-request")
	e.send(t, "GET", "/reports/%zz", nil).want(t, 400, "not-run", "bad-request")
	got := e.send(t, "GET", "/reports/%2e%2E/x", nil)
	got.want(t, 400, "not-run", "bad-request")
	if !strings.Contains(got.body, `"outcome":"not-run"`) {
		t.Errorf("body %q", got.body)
	}
}

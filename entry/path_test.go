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
	d := newDaemon(t, "a", reports(), tgt.addr, nil)
	d.hold(keyspace.Full(), 7, false)
	e := newDoor(t, nil, reports())
	e.router.MergeEntries("reports", d.route(keyspace.Full(), 7))

	got := e.do(t, "GET", "/reports/house-1/photos?size=2", map[string]string{"Parsley-Token": "9.9"})
	got.want(t, 201, "done", "")
	if got.body != "GET /house-1/photos?size=2 " {
		t.Errorf("target saw %q", got.body)
	}
	if want := "1.7 0000000000000000-ffffffffffffffff"; got.header("X-Seen") != want {
		t.Errorf("grant headers %q, want %q", got.header("X-Seen"), want)
	}
	if n := tgt.ran("GET /house-1/photos?size=2"); n != 1 {
		t.Errorf("ran %d times, want once", n)
	}
	if got.header("X-Timeout") == "" {
		t.Error("target saw no timeout")
	}
}

func TestPathBelowThePrefixReachesTheTarget(t *testing.T) {
	tgt := newFakeTarget(t)
	d := newDaemon(t, "a", bookings(), tgt.addr, nil)
	d.hold(keyspace.Full(), 1, false)
	e := newDoor(t, nil, bookings())
	e.router.MergeEntries("bookings", d.route(keyspace.Full(), 1))
	for uri, want := range map[string]string{
		"/bookings": "/", "/bookings?a=b": "/?a=b", "/bookings/": "/", "/bookings/x%2Fy?a=b": "/x%2Fy?a=b",
	} {
		if got := e.do(t, "GET", uri, nil); got.body != "ok "+want {
			t.Errorf("%s: target answered %q, want it to see %s", uri, got.body, want)
		}
	}
}

func TestUndividedServiceUsesAllDaemons(t *testing.T) {
	tgt := newFakeTarget(t)
	e := newDoor(t, nil, bookings())
	for i, r := range keyspace.Divide(3) {
		d := newDaemon(t, string(rune('a'+i)), bookings(), tgt.addr, nil)
		d.hold(r, uint64(i+1), false)
		e.router.MergeEntries("bookings", d.route(r, uint64(i+1)))
	}
	for range 30 {
		e.do(t, "GET", "/bookings/free", nil).want(t, 200, "done", "")
	}
}

func TestRefusedByGateway(t *testing.T) {
	e := newDoor(t, nil, reports())
	e.do(t, "GET", "/nothing/x", nil).want(t, 404, "not-run", "unknown-service")
	e.do(t, "GET", "/reports/", nil).want(t, 400, "not-run", "bad-request")
	e.do(t, "GET", "/reports/%zz", nil).want(t, 400, "not-run", "bad-request")
	got := e.do(t, "GET", "/reports/%2e%2E/x", nil)
	got.want(t, 400, "not-run", "bad-request")
	if !strings.Contains(got.body, `"outcome":"not-run"`) {
		t.Errorf("body %q", got.body)
	}
}

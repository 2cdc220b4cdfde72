package sidecar

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// All causes of a 400 and a 413 had one reason, and requests that could not be read were
// neither logged nor counted, so that the incident DENIED could not be traced.
func TestRejectionsNameTheirCause(t *testing.T) {
	t.Parallel()
	core, lines := observer.New(zap.InfoLevel)
	d := deployWith(t, func(n *testNode) { n.log = zap.New(core) }, plainService)
	n := d.nodes[0]
	n.awaitUnkeyedServing(t)
	n.awaitConfirmed(t)
	for _, c := range []struct {
		status  int
		reason  string
		request string
	}{
		{400, "malformed-deadline", head("GET", "/book/a", platformtest.DeadlineHeader+": soon\r\n")},
		{400, "malformed-key", head("GET", "/book/a", platformtest.KeyHeader+": 65536\r\n")},
		{400, "malformed-request", "GET /book/a\r\n\r\n"},
		{404, "unknown-route", head("GET", "/none/a", "")},
		{413, "body-too-large", head("POST", "/book/a", "Content-Length: 1048577\r\n") + strings.Repeat("x", 1048577)},
		{431, "header-too-large", head("GET", "/book/a", "X: "+strings.Repeat("x", 40<<10)+"\r\n")},
	} {
		if status, _ := n.rawCall(t, c.request); status != c.status {
			t.Errorf("%s: status %d, want %d", c.reason, status, c.status)
		}
		if counter := fmt.Sprintf("parsley_requests_rejected_total{status=\"%d\",reason=%q} ", c.status, c.reason); !strings.Contains(n.metrics(t), counter) {
			t.Errorf("the metrics lack %s", counter)
		}
		logged := lines.Filter(func(e observer.LoggedEntry) bool {
			fields := e.ContextMap()
			return fields["event"] == int64(logevent.RequestRejected.Number) && fields["reason"] == c.reason
		})
		if logged.Len() == 0 {
			t.Errorf("%s: no line in the log", c.reason)
		}
	}
}

// A version that moves a route to a service divided by key made the requests that callers
// had sent without a key get 400, which callers never retry.
func TestRequestWithoutKeyIsNotDeniedAfterAMove(t *testing.T) {
	t.Parallel()
	d := deploy(t, plainService, keyedService)
	n := d.nodes[0]
	n.awaitUnkeyedServing(t)
	d.configureRoutes(platformtest.Route{Prefix: "/moves/", Service: plainService})
	get := func() (int, http.Header) { return n.rawCall(t, head("GET", "/moves/a", "")) }
	eventually(t, "the route is served", func() bool { status, _ := get(); return status == http.StatusOK })
	d.configureRoutes(platformtest.Route{Prefix: "/moves/", Service: keyedService})
	eventually(t, "the route has moved", func() bool { status, _ := get(); return status != http.StatusOK })
	n.awaitConfirmed(t)
	if status, header := get(); status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q, want 503 with a time", status, header.Get("Retry-After"))
	}
}

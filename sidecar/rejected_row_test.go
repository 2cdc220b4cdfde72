package sidecar

import (
	"net/http"
	"strings"
	"testing"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// One route that could not be decoded rejected the whole version: requests of all routes that the
// version added got 404.
func TestOneRejectedRouteDoesNotHideTheOthers(t *testing.T) {
	t.Parallel()
	d := deploy(t, plainService)
	n := d.nodes[0]
	n.awaitUnkeyedServing(t)
	n.awaitConfirmed(t)
	status := func(path string) int { return n.call(http.MethodGet, path, newID(), platformtest.NoKey).Status }
	d.configureRoutes(platformtest.Route{Prefix: "/later/"}, platformtest.Route{Prefix: "/added/", Service: plainService})
	eventually(t, "the added route is served", func() bool { return status("/added/a") == http.StatusOK })
	if got := status("/later/a"); got != http.StatusServiceUnavailable {
		t.Errorf("the route that can't be decoded is answered with %d, want 503", got)
	}
	if got := status("/none/a"); got != http.StatusNotFound {
		t.Errorf("a path without a route is answered with %d, want 404", got)
	}
	if text := n.metrics(t); !strings.Contains(text, "parsley_configuration_rows_rejected_total 1\n") {
		t.Error("the metrics do not count the rejected row")
	}
}

// A route of a kind that the daemon does not know got 503 for each request.
func TestRouteOfUnknownKindIsServed(t *testing.T) {
	t.Parallel()
	d := deploy(t, plainService)
	n := d.nodes[0]
	n.awaitUnkeyedServing(t)
	n.awaitConfirmed(t)
	d.configureRoutes(platformtest.Route{Prefix: "/stream/", Service: plainService, Kind: "stream"}, platformtest.Route{Prefix: "/packs/", Service: plainService, Kind: "download"})
	for _, path := range []string{"/stream/a", "/packs/a"} {
		eventually(t, path+" is served", func() bool { return n.call(http.MethodGet, path, newID(), platformtest.NoKey).Status == http.StatusOK })
	}
	if text := n.metrics(t); !strings.Contains(text, "parsley_configuration_kinds_unknown_total 1\n") {
		t.Error("the metrics do not count the route of an unknown kind")
	}
}

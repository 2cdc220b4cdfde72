package sidecar

import (
	"net/http"
	"testing"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// A route whose weights lead to a service that is divided by key and to another one drew
// the first for requests without a key. They got 400, though the other serves them.
func TestSplitRouteServesRequestsWithoutKey(t *testing.T) {
	t.Parallel()
	d := deploy(t, keyedService, plainService)
	d.configureRoutes(platformtest.Route{Prefix: "/split/", Weights: map[string]int{plainService: 50, keyedService: 50}})
	d.awaitServing()
	n := d.nodes[1]
	eventually(t, "the new route is in force", func() bool {
		return n.call(http.MethodGet, "/split/a", newID(), 5).Status != http.StatusNotFound
	})
	for range 50 {
		id := newID()
		if a := n.call(http.MethodGet, "/split/a", id, platformtest.NoKey); a.Status != http.StatusOK {
			t.Fatalf("without a key: status %d", a.Status)
		}
	}
	targets := make(map[string]int)
	for range 50 {
		id := newID()
		if a := n.call(http.MethodGet, "/split/a", id, 5); a.Status != http.StatusOK {
			t.Fatalf("with a key: status %d", a.Status)
		}
		for _, run := range d.records.ByRequest(id) {
			targets[run.Target]++
		}
	}
	if len(targets) != 2 {
		t.Errorf("requests with a key ran at %v, want both services", targets)
	}
}

package sidecar

import (
	"net/http"
	"testing"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// A late copy of a target's rejection was taken for the answer to the second send of the same
// request: its caller was told that it was not run, and the target ran it.
func TestLateCopyOfARejectionDoesNotRefuseARequestThatRuns(t *testing.T) {
	t.Parallel()
	d := deploy(t, keyedService, plainService)
	d.configureRoutes(platformtest.Route{Prefix: "/claim/", Service: keyedService})
	d.awaitServing()
	n := d.nodes[0]
	eventually(t, "the route to claims is served", func() bool {
		return n.call(http.MethodPost, "/claim/a", newID(), 7).Status == http.StatusOK
	})
	n.target.Stop()
	n.target.RejectsFirst = true
	if err := n.target.Start(); err != nil {
		t.Fatal(err)
	}
	served := 0
	eventually(t, "ten requests are served at the second send", func() bool {
		id := newID()
		a := n.call(http.MethodPost, "/claim/a", id, 7)
		runs := d.records.ByRequest(id)
		if a.Status != http.StatusOK && a.Status != http.StatusBadGateway && len(runs) > 0 {
			t.Fatalf("HTTP status %d for a request that ran", a.Status)
		}
		if len(runs) > 1 {
			t.Fatalf("the request ran %d times", len(runs))
		}
		if a.Status == http.StatusOK {
			served++
		}
		return served == 10
	})
}

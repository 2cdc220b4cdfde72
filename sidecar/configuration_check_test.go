package sidecar

import (
	"net/http"
	"testing"

	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// Once a daemon has heard of a newer configuration than its own, it must not refuse
// for good a route that the newer one may have added.
func TestUnknownRouteIsNotRefusedWhenANewerConfigurationIsKnown(t *testing.T) {
	t.Parallel()
	d := deploy(t, plainService)
	n := d.nodes[0]
	n.awaitUnkeyedServing(t)
	n.awaitConfirmed(t)
	status := func() int { return n.call(http.MethodPost, "/later/a", newID(), platformtest.NoKey).Status }
	if got := status(); got != http.StatusNotFound {
		t.Fatalf("a route that never existed is answered with %d", got)
	}
	other := fleet.Member{Instance: "other", Incarnation: 1, Revision: 1, Addr: newHost() + ":7004", Service: keyedService}
	changed := make(chan bool, 1)
	n.daemon.control.do(func() {
		c := n.daemon.control
		c.handleStatus(&fleet.Status{Seq: 1, Member: other, Config: 1})
		c.publishView()
		c.handleStatus(&fleet.Status{Seq: 2, Member: other, Config: 7})
		changed <- c.viewStale
	})
	if !<-changed {
		t.Error("requests are not told of the newer configuration")
	}
	eventually(t, "the refusal is not final", func() bool { return status() == http.StatusServiceUnavailable })
}

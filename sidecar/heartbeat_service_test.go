package sidecar

import (
	"net/http"
	"testing"

	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// The heartbeats of a target were answered with 400 until the configuration had its
// service, so that a departure that it announced before was not acknowledged.
func TestHeartbeatsOfAServiceThatIsAddedLater(t *testing.T) {
	t.Parallel()
	d := deploy(t, "later", plainService)
	n := d.nodes[0]
	d.nodes[1].awaitUnkeyedServing(t)
	n.awaitConfirmed(t)
	if err := n.target.SendHeartbeat(); err != nil {
		t.Errorf("heartbeat of the settings' service: %v", err)
	}
	d.configureRoutes(platformtest.Route{Prefix: "/later/", Service: "later"})
	eventually(t, "the service is served", func() bool {
		return n.call(http.MethodPost, "/later/a", newID(), platformtest.NoKey).Status == http.StatusOK
	})
}

// A service that only a newer configuration may have is no fault of the heartbeat.
func TestHeartbeatsWhileTheConfigurationIsOutdated(t *testing.T) {
	t.Parallel()
	d := deploy(t, plainService)
	n := d.nodes[0]
	n.awaitUnkeyedServing(t)
	n.awaitConfirmed(t)
	unknown := platformtest.InvalidHeartbeats(plainService, n.target.Addr)["service"]
	send := func() int {
		status, err := platformtest.SendHeartbeat(n.settings.ControlAddr, "t-else", unknown)
		if err != nil {
			t.Fatal(err)
		}
		return status
	}
	if got := send(); got != http.StatusBadRequest {
		t.Errorf("with the newest configuration: status %d, want 400", got)
	}
	n.daemon.control.do(func() { n.daemon.control.recordKnownVersion(1000, 0) })
	if got := send(); got != http.StatusServiceUnavailable {
		t.Errorf("with an outdated configuration: status %d, want 503", got)
	}
}

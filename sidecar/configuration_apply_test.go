package sidecar

import (
	"net/http"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/platform/platformtest"
	"github.com/parsleystack/parsleystack/routetable"
)

// A daemon that did not reach the store answered 404 for routes of versions that it could
// not know. It must say that it is not ready, and 404 again once the store has answered.
func TestNoNotFoundWithoutTheStore(t *testing.T) {
	t.Parallel()
	d := deploy(t, plainService)
	n := d.nodes[0]
	n.awaitUnkeyedServing(t)
	n.awaitConfirmed(t)
	status := func() int { return n.call(http.MethodGet, "/none/", newID(), platformtest.NoKey).Status }
	if got := status(); got != http.StatusNotFound {
		t.Errorf("with the store: status %d, want 404", got)
	}
	d.store.SetFault(platformtest.Unavailable)
	eventually(t, "no 404 without the store", func() bool { return status() == http.StatusServiceUnavailable })
	d.store.SetFault(platformtest.NoFault)
	eventually(t, "404 again", func() bool { return status() == http.StatusNotFound })
}

// What the configuration does not allow is only the caller's fault if no newer one may
// allow it.
func TestConfigurationConfirmed(t *testing.T) {
	whole := routetable.New(routetable.Configuration{})
	partial := routetable.New(routetable.Configuration{Unusable: []routetable.Pattern{{}}})
	for name, c := range map[string]struct {
		v        view
		age      clock.Time
		answered bool
		want     bool
	}{
		"new, no peer heard":         {view{routes: whole}, 0, true, false},
		"new, peer heard":            {view{routes: whole, receivedStatus: true}, 0, true, true},
		"no peer for long":           {view{routes: whole}, clock.Time(peerWait), true, true},
		"a peer is ahead":            {view{routes: whole, receivedStatus: true, configBehind: true}, 0, true, false},
		"the store does not answer":  {view{routes: whole, receivedStatus: true}, 0, false, false},
		"a route of unknown pattern": {view{routes: partial, receivedStatus: true}, 0, true, false},
	} {
		d := &Daemon{started: clock.Now() - c.age, control: new(control)}
		d.control.d = d
		d.currentSettings.Store(&platform.Settings{ConfigApplyTime: time.Second})
		asOf := clock.Now()
		if !c.answered {
			asOf = asOf.Add(-2 * time.Second)
		}
		d.control.config.asOf.Store(int64(asOf))
		if got := d.configurationConfirmed(&c.v); got != c.want {
			t.Errorf("%s: confirmed %v, want %v", name, got, c.want)
		}
	}
}

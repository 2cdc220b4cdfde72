package sidecar

import (
	"net/http"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
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

// A status that named a newer version did not take effect before the next change of
// targets, so that its routes got 404 from a daemon that knew better.
func TestNewerVersionOfAPeerTakesEffectAtOnce(t *testing.T) {
	t.Parallel()
	c := deploy(t, plainService).nodes[0].daemon.control
	s := &fleet.Status{Seq: 1, Member: fleet.Member{Instance: "peer", Incarnation: 1, Revision: 1, Service: plainService, Addr: "127.0.0.1:1"}}
	behind := make(chan bool)
	c.do(func() {
		c.handleStatus(s)
		c.publishView()
		s.Seq, s.Config = 2, 1000
		c.handleStatus(s)
		behind <- c.viewStale
	})
	if !<-behind {
		t.Error("the view is not rebuilt for the newer version")
	}
}

// What the configuration does not allow is only the caller's fault if no newer one may
// allow it.
func TestConfigurationConfirmed(t *testing.T) {
	whole := routetable.New(routetable.Configuration{})
	partial := routetable.New(routetable.Configuration{Unusable: []routetable.Pattern{{}}})
	for name, c := range map[string]struct {
		v       view
		age     clock.Time // of the process
		current bool       // the configuration was confirmed recently
		want    bool
	}{
		"new, no peer heard":         {view{routes: whole}, 0, true, false},
		"new, peer heard":            {view{routes: whole, heardPeer: true}, 0, true, true},
		"no peer for long":           {view{routes: whole}, clock.Time(peerWait), true, true},
		"a peer is ahead":            {view{routes: whole, heardPeer: true, configBehind: true}, 0, true, false},
		"not confirmed recently":     {view{routes: whole, heardPeer: true}, 0, false, false},
		"a route of unknown pattern": {view{routes: partial, heardPeer: true}, 0, true, false},
	} {
		d := &Daemon{started: clock.Now() - c.age}
		d.currentSettings.Store(&platform.Settings{ConfigApplyTime: time.Second})
		control := &control{d: d}
		control.config.asOf.Store(int64(clock.Now().Add(-2 * time.Second)))
		if c.current {
			control.config.asOf.Store(int64(clock.Now()))
		}
		if got := control.configurationConfirmed(&c.v); got != c.want {
			t.Errorf("%s: confirmed %v, want %v", name, got, c.want)
		}
	}
}

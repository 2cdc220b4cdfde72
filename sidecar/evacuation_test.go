package sidecar

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// evacuationTime is the longest time until an evacuation is in force while nothing fails; the
// bound is 5 s.
const evacuationTime = 1500 * time.Millisecond

// deployZones starts daemons in the zones z0, z1, and so on.
func deployZones(t *testing.T, services ...string) *deployment {
	t.Helper()
	return deployWith(t, func(n *testNode) {
		zone := "z" + string(n.settings.Instance[len(n.settings.Instance)-1])
		n.settings.Zone, n.target.Zone = ident.Zone(zone), zone
		n.settings.HeartbeatInterval, n.target.HeartbeatInterval = 870*time.Millisecond, 870*time.Millisecond // as on the platform, since handing over takes heartbeats
	}, services...)
}

// arrivedSince counts the requests that reached the target of a node since a time.
func (d *deployment) arrivedSince(n *testNode, from time.Time) (count int) {
	for _, a := range d.records.Arrivals() {
		if a.Target == n.target.ID && a.At.After(from) {
			count++
		}
	}
	return count
}

// evacuate evacuates the zone of a node and returns the time from which on it must be in force.
func (d *deployment) evacuate(i int) time.Time {
	d.store.Evacuate(fmt.Sprintf("z%d", i))
	time.Sleep(evacuationTime)
	return time.Now()
}

// Nothing implemented the evacuation of a zone: its targets got requests as before.
func TestTargetsOfAnEvacuatedZoneGetNoRequests(t *testing.T) {
	t.Parallel()
	d := deployZones(t, plainService, plainService, plainService)
	for _, n := range d.nodes {
		n.awaitUnkeyedServing(t)
		n.awaitPeers(t, 2)
	}
	l := startColdLoad(d, false)
	defer l.finish()
	from := d.evacuate(0)
	time.Sleep(2 * time.Second)
	if got := d.arrivedSince(d.nodes[0], from); got > 0 {
		t.Errorf("%d requests reached a target of the evacuated zone", got)
	}
	for _, n := range d.nodes {
		if a := n.call(http.MethodPost, "/book/a", newID(), platformtest.NoKey); a.Status != http.StatusOK {
			t.Errorf("a request at %s is answered with %d", n.settings.Instance, a.Status)
		}
	}
	if err := d.nodes[0].target.SendHeartbeat(); err != nil {
		t.Errorf("a heartbeat of a target in an evacuated zone: %v", err)
	}
	d.store.EndEvacuation("z0")
	ended := time.Now()
	eventually(t, "the target is used again", func() bool { return d.arrivedSince(d.nodes[0], ended) > 0 })
}

// After an evacuation it is not known whether the targets are cold.
func TestTargetsArePacedAfterAnEvacuation(t *testing.T) {
	t.Parallel()
	d := deployCold(t, func(n *testNode) {
		zone := "z" + string(n.settings.Instance[len(n.settings.Instance)-1])
		n.settings.Zone, n.target.Zone = ident.Zone(zone), zone
	}, plainService, plainService)
	d.awaitWarm()
	l := startColdLoad(d, false)
	defer l.finish()
	d.evacuate(0)
	d.nodes[0].target.Cold.Begin()
	from := time.Now()
	d.store.EndEvacuation("z0")
	time.Sleep(3 * time.Second)
	d.checkColdBound(t, from)
}

// The keys of an evacuated zone move to other zones, with hand-over, and back afterwards.
func TestKeysLeaveAnEvacuatedZone(t *testing.T) {
	t.Parallel()
	d := deployZones(t, keyedService, keyedService, keyedService)
	d.awaitAllKeys()
	var keys []int // of the target that is evacuated
	for key := 0; key <= 65535 && len(keys) < 5; key += 1024 {
		if d.nodes[0].target.Holds(int64(key)) {
			keys = append(keys, key)
		}
	}
	l := startColdLoad(d, true)
	d.store.Evacuate("z0")
	begun := time.Now()
	eventually(t, "the daemon knows of the evacuation", func() bool { return d.nodes[0].daemon.backend.evacuated.Load() })
	for _, key := range keys { // served until they are handed over
		if a := d.nodes[1].call(http.MethodGet, "/view/a", newID(), key); a.Status != http.StatusOK {
			t.Errorf("key %d is answered with %d while it is handed over", key, a.Status)
		}
	}
	holds := func(n *testNode) (count int) {
		for key := int64(0); key <= 65535; key += 1024 {
			if n.target.Holds(key) {
				count++
			}
		}
		return count
	}
	eventually(t, "the target has handed over its keys", func() bool { return holds(d.nodes[0]) == 0 })
	handedOver := time.Now()
	time.Sleep(max(5*time.Second-time.Since(begun), time.Second))
	l.finish()
	if served := l.servedBetween(begun, handedOver); float64(served) < 100*handedOver.Sub(begun).Seconds() {
		t.Errorf("%d requests were served in the %v until the keys were handed over", served, handedOver.Sub(begun))
	}
	from := begun.Add(4 * time.Second)
	d.awaitAllKeys()
	if got := d.arrivedSince(d.nodes[0], from); got > 0 {
		t.Errorf("%d requests reached a target of the evacuated zone", got)
	}
	d.store.EndEvacuation("z0")
	eventually(t, "the target has keys again", func() bool { return holds(d.nodes[0]) > 0 })
	d.awaitAllKeys()
}

// awaitAllKeys waits until all nodes serve all keys.
func (d *deployment) awaitAllKeys() {
	d.t.Helper()
	for _, n := range d.nodes {
		eventually(d.t, "all keys are served", func() bool {
			for key := 0; key <= 65535; key += 4096 {
				if n.call(http.MethodGet, "/view/a", newID(), key).Status != http.StatusOK {
					return false
				}
			}
			return true
		})
	}
}

// With all targets in evacuated zones, no request may run, and callers are told so.
func TestAllZonesEvacuated(t *testing.T) {
	t.Parallel()
	d := deployZones(t, plainService, plainService)
	for _, n := range d.nodes {
		n.awaitUnkeyedServing(t)
	}
	d.store.Evacuate("z0")
	from := d.evacuate(1)
	for _, n := range d.nodes {
		if a := n.call(http.MethodPost, "/book/a", newID(), platformtest.NoKey); a.Status != http.StatusServiceUnavailable {
			t.Errorf("a request at %s is answered with %d, want 503", n.settings.Instance, a.Status)
		}
	}
	for _, n := range d.nodes {
		if got := d.arrivedSince(n, from); got > 0 {
			t.Errorf("%d requests reached the target of %s", got, n.settings.Instance)
		}
	}
	d.store.EndEvacuation("z0")
	d.store.EndEvacuation("z1")
	for _, n := range d.nodes {
		n.awaitUnkeyedServing(t)
	}
}

// A daemon that can't read the store learns of an evacuation from the others, and one that
// starts meanwhile knows of it before it is ready.
func TestEvacuationReachesDaemonsWithoutTheStore(t *testing.T) {
	t.Parallel()
	d := deployZones(t, plainService, plainService, plainService)
	for _, n := range d.nodes {
		n.awaitUnkeyedServing(t)
		n.awaitPeers(t, 2)
	}
	n := d.nodes[0]
	d.store.SetFault(platformtest.Unavailable, n.settings.Store.Addr)
	l := startColdLoad(d, false)
	defer l.finish()
	from := d.evacuate(0)
	time.Sleep(time.Second)
	if got := d.arrivedSince(n, from); got > 0 {
		t.Errorf("%d requests reached a target of the evacuated zone, whose daemon can't read the store", got)
	}
	d.store.SetFault(platformtest.NoFault, n.settings.Store.Addr)
	n.stop()
	<-n.done
	from = time.Now()
	n.start(t)
	eventually(t, "the restarted daemon serves", func() bool {
		return n.call(http.MethodPost, "/book/a", newID(), platformtest.NoKey).Status == http.StatusOK
	})
	time.Sleep(time.Second)
	if got := d.arrivedSince(n, from); got > 0 {
		t.Errorf("%d requests reached a target of the evacuated zone after its daemon restarted", got)
	}
}

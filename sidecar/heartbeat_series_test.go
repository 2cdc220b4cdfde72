package sidecar

import (
	"net/http"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// A heartbeat of another writer with a number far ahead hid all later ones of the target, which
// got no requests until it was started again.
func TestNumberFarAheadDoesNotHideTheTarget(t *testing.T) {
	t.Parallel()
	d := deploy(t, keyedService)
	n := d.nodes[0]
	view := func() bool {
		return n.call(http.MethodGet, "/view/a", newID(), 40000).Status == http.StatusOK
	}
	eventually(t, "the key is served", view)
	odd := platformtest.HeartbeatForm{Addr: n.target.Addr, Service: keyedService, State: "ready", Born: n.target.Born(), Seq: 1 << 49}
	if status, err := platformtest.SendHeartbeat(n.settings.ControlAddr, n.target.ID, odd.Body()); err != nil || status != http.StatusOK {
		t.Fatalf("heartbeat of another writer: status %d, %v", status, err)
	}
	eventually(t, "the target's own heartbeats count again", func() bool {
		applied := make(chan uint64)
		n.daemon.control.do(func() { applied <- n.daemon.control.heartbeats.seq })
		return <-applied < 1<<49
	})
	eventually(t, "the key is served again", view)
}

// Late heartbeats must not count as newer ones.
func TestHeartbeatSeries(t *testing.T) {
	const interval = 870 * time.Millisecond
	type beat struct {
		seq uint64
		at  time.Duration
	}
	for name, c := range map[string]struct {
		beats []beat
		want  bool // of the last one
	}{
		"a burst of late ones":   {beats: []beat{{3, 0}, {4, 1}, {5, 2}, {6, 3}, {7, 4}}},
		"one again and again":    {beats: []beat{{3, 0}, {3, interval}, {3, 2 * interval}, {3, 3 * interval}, {3, 4 * interval}}},
		"in reverse":             {beats: []beat{{9, 0}, {8, interval}, {7, 2 * interval}, {6, 3 * interval}}},
		"too few":                {beats: []beat{{3, 0}, {4, 2 * interval}, {5, 4 * interval}}},
		"the target's own":       {beats: []beat{{3, 0}, {4, interval}, {5, 2 * interval}, {6, 3 * interval}}, want: true},
		"own, after a late copy": {beats: []beat{{3, 0}, {4, interval}, {2, interval}, {5, 2 * interval}, {6, 3 * interval}, {7, 4 * interval}}, want: true},
	} {
		var s heartbeatSeries
		got := false
		for i, b := range c.beats {
			if got = s.add(b.seq, interval, clock.Time(1).Add(b.at)); got && i < len(c.beats)-1 {
				t.Errorf("%s: heartbeat %d of %d already counts", name, i+1, len(c.beats))
			}
		}
		if got != c.want {
			t.Errorf("%s: the last heartbeat counts: %t, want %t", name, got, c.want)
		}
	}
}

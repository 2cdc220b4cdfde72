package sidecar

import (
	"net/http"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/platform/platformtest"
)

// targetState returns the state that the node's daemon reports of its target.
func (n *testNode) targetState() fleet.TargetState {
	state := make(chan fleet.TargetState)
	n.daemon.control.do(func() { state <- n.daemon.control.self.State })
	return <-state
}

// A refused connection proves no more than that the target accepts none at this moment. A
// target that has announced its departure leaves as before.
func TestRefusedConnectionDoesNotEndATarget(t *testing.T) {
	t.Parallel()
	d := deploy(t, keyedService, keyedService, plainService)
	d.awaitServing()
	for name, c := range map[string]struct {
		node        *testNode
		drain       bool
		want, later fleet.TargetState
	}{
		"leaving": {d.nodes[0], true, fleet.TargetLeaving, fleet.TargetLeaving},
		"ready":   {d.nodes[1], false, fleet.TargetUnreachable, fleet.TargetReady},
	} {
		control := c.node.daemon.control
		if c.drain {
			c.node.target.Drain()
			eventually(t, "the target leaves", func() bool { return c.node.targetState() == fleet.TargetLeaving })
		}
		seen := make(chan fleet.TargetState)
		control.do(func() {
			control.heartbeats.lastAt = control.heartbeats.lastAt.Add(-2 * refusedAfter) // between two heartbeats
			control.targetRefused(control.self.TargetID)
			seen <- control.self.State
		})
		if got := <-seen; got != c.want {
			t.Errorf("%s: the target is %v after a refused connection, want %v", name, got, c.want)
		}
		if err := c.node.target.SendHeartbeat(); err != nil {
			t.Fatal(err)
		}
		if got := c.node.targetState(); got != c.later {
			t.Errorf("%s: the target is %v after its next heartbeat, want %v", name, got, c.later)
		}
	}
}

// A target that refused connections while it was busy was taken for ended: its keys were
// granted to others seconds before its hold ran out, and it got no requests any more.
func TestBusyTargetThatRefusesConnectionsKeepsItsKeys(t *testing.T) {
	t.Parallel()
	d := deployWith(t, func(n *testNode) { // time for a new owner between two heartbeats
		n.settings.HeartbeatInterval, n.target.HeartbeatInterval = 870*time.Millisecond, 870*time.Millisecond
	}, keyedService, keyedService, plainService)
	d.awaitServing()
	busy := d.nodes[0]
	key := -1
	for k := 0; k <= 65535 && key < 0; k += 512 {
		if busy.target.Holds(int64(k)) {
			key = k
		}
	}
	if err := busy.target.Behave(platformtest.Behavior{RefusesConnections: true}); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		busy.call(http.MethodGet, "/view/a", newID(), key)
	}
	if v := d.held.Violations(); len(v) > 0 {
		t.Errorf("keys were given away while the target held them: %v", v)
	}
	if !busy.target.Holds(int64(key)) {
		t.Error("the target has lost its key")
	}
	if err := busy.target.Behave(platformtest.Behavior{}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the target serves its keys again", func() bool {
		return busy.call(http.MethodGet, "/view/a", newID(), key).Status == http.StatusOK && busy.target.Holds(int64(key))
	})
}

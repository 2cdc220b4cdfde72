package sidecar

import (
	"testing"

	"github.com/parsleystack/parsleystack/fleet"
)

// A target that leaves may take no new connections while it still works on the
// keys that it holds. Only one that has not said that it leaves counts as ended
// when its address refuses.
func TestRefusalDoesNotEndALeavingTarget(t *testing.T) {
	t.Parallel()
	d := deploy(t, keyedService, keyedService, plainService)
	d.serving()
	for name, c := range map[string]struct {
		node  *testNode
		drain bool
		want  fleet.TargetState
	}{
		"leaving": {d.nodes[0], true, fleet.TargetLeaving},
		"ready":   {d.nodes[1], false, fleet.TargetEnded},
	} {
		control := c.node.daemon.control
		state := func() (s fleet.TargetState) {
			done := make(chan struct{})
			control.do(func() { s = control.self.State; close(done) })
			<-done
			return s
		}
		if c.drain {
			c.node.target.Drain()
			eventually(t, "the target leaves", func() bool { return state() == fleet.TargetLeaving })
		}
		seen := make(chan fleet.TargetState)
		control.do(func() {
			control.beats.at = control.beats.at.Add(-2 * refusedAfter) // between two heartbeats
			control.targetRefused(control.self.TargetID)
			seen <- control.self.State
		})
		if got := <-seen; got != c.want {
			t.Errorf("%s: the target is %v after a refused connection, want %v", name, got, c.want)
		}
	}
}

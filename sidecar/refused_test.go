package sidecar

import (
	"testing"

	"github.com/parsleystack/parsleystack/fleet"
)

// A leaving target may refuse new connections while it still works on its keys. A
// refused connection must not end it, or its keys would move while it serves them.
// Only a target that has not announced its departure counts as ended.
func TestRefusalDoesNotEndALeavingTarget(t *testing.T) {
	t.Parallel()
	d := deploy(t, keyedService, keyedService, plainService)
	d.awaitServing()
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
			control.heartbeats.lastAt = control.heartbeats.lastAt.Add(-2 * refusedAfter) // between two heartbeats
			control.targetRefused(control.self.TargetID)
			seen <- control.self.State
		})
		if got := <-seen; got != c.want {
			t.Errorf("%s: the target is %v after a refused connection, want %v", name, got, c.want)
		}
	}
}

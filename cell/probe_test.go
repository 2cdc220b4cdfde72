package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/ident"
)

// With the default settings of a daemon a leader at rest looks for no other
// deputy: it would ask every member at each heartbeat.
func TestLeaderAtRestSendsNoLead(t *testing.T) {
	s := newFaultySim(t, 0, FaultNone)
	for i := 1; i <= 4; i++ {
		cfg := testConfig(fmt.Sprintf("t%d", i), 1)
		cfg.HeartbeatInterval = 750 * time.Millisecond
		cfg.RetryInterval = 250 * time.Millisecond
		cfg.DriftPPM = 500
		s.start(cfg)
	}
	s.runUntil(10*time.Second, s.covered)
	s.run(5 * time.Second)
	leads := 0
	s.drop = func(_, _ ident.Instance, m Message) bool {
		if m.Lead != nil {
			leads++
		}
		return false
	}
	s.run(20 * time.Second)
	if leads > 0 {
		t.Errorf("the leader sent %d Lead messages at rest", leads)
	}
}

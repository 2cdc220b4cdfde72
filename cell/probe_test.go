package cell

import (
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/ident"
)

// With the default settings of a daemon a leader at rest looks for no other
// deputy: it would ask every member at each heartbeat.
func TestLeaderAtRestSendsNoLead(t *testing.T) {
	s := defaultCell(t, 4)
	leads := 0
	s.drop = func(_, _ ident.Instance, m Message) bool {
		if m.LeaderNotice != nil {
			leads++
		}
		return false
	}
	s.run(20 * time.Second)
	if leads > 0 {
		t.Errorf("the leader sent %d Lead messages at rest", leads)
	}
}

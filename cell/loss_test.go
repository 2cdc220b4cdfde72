package cell

import (
	"testing"
	"time"
)

// failoverLimit is the time within which the ranges of a failed process must be
// held again.
const failoverLimit = 4 * time.Second

// stableCell returns a cell of n processes that has a leader and a deputy, after
// all ranges have been assigned.
func stableCell(t *testing.T, n int) *sim {
	t.Helper()
	s := newSim(t, n)
	s.runUntil(10*time.Second, func() bool {
		return s.covered() && s.leaderProc() != nil && !s.leaderProc().node.ledger.Deputy().IsZero()
	})
	s.run(5 * time.Second)
	if !s.covered() {
		t.Fatalf("not covered after the start\n%s", s.traceTail())
	}
	return s
}

func TestCellStartsAndDividesRangesEvenly(t *testing.T) {
	s := stableCell(t, 4)
	for _, p := range s.procs {
		if len(p.held) != 2 {
			t.Errorf("%v holds %d ranges, want 2", p.id, len(p.held))
		}
	}
	s.requireSingleHolder()
}

func TestLostMemberIsReplacedWithinLimit(t *testing.T) {
	for _, role := range []string{"plain", "leader", "deputy"} {
		s := stableCell(t, 4)
		failed := map[string]*simProc{"plain": s.plainProc(), "leader": s.leaderProc(), "deputy": s.deputyProc()}[role]
		s.kill(failed)
		took := s.runUntil(failoverLimit, s.covered)
		t.Logf("%s failed: covered again after %v", role, took)
		s.run(10 * time.Second)
		s.requireSingleHolder()
		if !s.covered() {
			t.Errorf("%s failed: not covered at the end\n%s", role, s.traceTail())
		}
	}
}

package cell

import (
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/ident"
)

// One process or the log fails. No lease of another member may expire.
func TestLossOfAnyOneCausesNoLapse(t *testing.T) {
	for _, role := range []string{"plain", "leader", "deputy", "log"} {
		s := stableCell(t, 5)
		switch role {
		case "plain":
			s.kill(s.plainProc())
		case "leader":
			s.kill(s.leaderProc())
		case "deputy":
			s.kill(s.deputyProc())
		case "log":
			s.logDown = true
		}
		s.run(20 * time.Second)
		if n := s.expirations(); n > 0 {
			t.Errorf("%s failed: %d leases of healthy members expired\n%s", role, n, s.traceTail())
		}
		s.requireSingleHolder()
	}
}

// The leader fails at different times of its heartbeat cycle, 30 ms apart. No lease of
// another member may expire.
func TestLossOfLeaderAtEveryMomentCausesNoLapse(t *testing.T) {
	for offset := time.Duration(0); offset < time.Second; offset += 30 * time.Millisecond {
		s := stableCell(t, 5)
		s.run(offset)
		s.kill(s.leaderProc())
		took := s.runUntil(failoverLimit, s.covered)
		s.run(3 * time.Second)
		if n := s.expirations(); n > 0 {
			t.Errorf("killed after %v: %d leases of healthy members expired, covered again after %v", offset, n, took)
		}
		s.requireSingleHolder()
	}
}

// A member fails while the log is down. Its ranges are reassigned provisionally, and
// the assignments are appended unchanged after the outage.
func TestReassignmentDuringLogOutageIsLoggedAfterwards(t *testing.T) {
	s := stableCell(t, 4)
	s.logDown = true
	s.run(3 * time.Second)
	s.kill(s.plainProc())
	s.runUntil(failoverLimit, s.covered)
	leader := s.leaderProc()
	if leader.node.View(s.now).Provisional == 0 {
		t.Fatal("no provisional assignment while the log is down")
	}
	before := leader.node.assignments()
	s.run(10 * time.Second)
	s.logDown = false
	s.run(3 * time.Second)
	if got := leader.node.View(s.now).Provisional; got != 0 {
		t.Errorf("%d assignments still provisional after the end of the outage", got)
	}
	if changed := changedGrants(before, leader.node.ledger.Assignments()); len(changed) > 0 {
		t.Errorf("assignments changed after the end of the outage: %v", changed)
	}
	s.requireSingleHolder()
}

// The leader fails before it has appended a provisional assignment. The deputy must
// keep that assignment when it becomes leader.
func TestProvisionalAssignmentSurvivesLossOfLeader(t *testing.T) {
	s := stableCell(t, 4)
	s.logDown = true
	s.kill(s.plainProc())
	s.runUntil(failoverLimit, s.covered)
	granted := s.leaderProc().node.assignments()
	s.logDown = false
	s.dropsAppends = false
	leader := s.leaderProc()
	s.logCut = func(node ident.Instance) bool { return node == leader.id.Instance }
	s.kill(leader)
	s.runUntil(failoverLimit, s.covered)
	now := s.leaderProc().node.assignments()
	for _, g := range granted {
		if g.Owner != leader.id && len(changedGrants(now, []Grant{g})) > 0 {
			t.Errorf("the committed grant %v was lost", g)
		}
	}
	s.requireSingleHolder()
}

// The leader or the deputy fails while the responses to appends, or the appends
// themselves, are lost. The cell must still hold all ranges afterwards.
func TestLostAnswersAndLostAppendsOfRoleRecords(t *testing.T) {
	for _, role := range []string{"leader", "deputy"} {
		for _, fault := range []string{"answer", "append"} {
			s := stableCell(t, 4)
			s.losesAppendResponses = fault == "answer"
			s.dropsAppends = fault == "append"
			if role == "leader" {
				s.kill(s.leaderProc())
			} else {
				s.kill(s.deputyProc())
			}
			s.run(1500 * time.Millisecond)
			s.dropsAppends = false
			s.run(8 * time.Second)
			if !s.covered() {
				t.Errorf("%s failed, %s lost: not covered\n%s", role, fault, s.traceTail())
			}
			s.requireSingleHolder()
		}
	}
}

// A frozen process resumes after its role and ranges may have been assigned to others.
// No point may have two holders then.
func TestFrozenLeaderWakesWithoutASecondHolder(t *testing.T) {
	for _, role := range []string{"leader", "deputy", "plain"} {
		for freeze := time.Second; freeze <= 8*time.Second; freeze += 700 * time.Millisecond {
			s := stableCell(t, 4)
			p := map[string]*simProc{"plain": s.plainProc(), "leader": s.leaderProc(), "deputy": s.deputyProc()}[role]
			p.frozen = true
			s.run(freeze)
			s.unfreeze(p)
			s.run(10 * time.Second)
			s.requireSingleHolder()
			if !s.covered() {
				t.Errorf("%s frozen for %v: not covered\n%s", role, freeze, s.traceTail())
			}
		}
	}
}

// A restarted instance must not hold the role or the ranges of its earlier process.
func TestRestartedInstanceHoldsNoRole(t *testing.T) {
	for _, role := range []string{"plain", "leader", "deputy"} {
		s := stableCell(t, 4)
		p := map[string]*simProc{"plain": s.plainProc(), "leader": s.leaderProc(), "deputy": s.deputyProc()}[role]
		s.kill(p)
		s.start(testConfig(string(p.id.Instance), 2))
		s.run(100 * time.Millisecond)
		if held := s.proc(string(p.id.Instance)).held; len(held) > 0 {
			t.Errorf("%s restarted: the new process holds %v immediately", role, held)
		}
		if next := s.proc(string(p.id.Instance)).node; next.leader != nil || next.deputy.named {
			t.Errorf("%s restarted: the new process has a role immediately", role)
		}
		s.runUntil(failoverLimit, s.covered)
		s.run(20 * time.Second)
		s.requireSingleHolder()
		if n := len(s.proc(string(p.id.Instance)).held); n == 0 {
			t.Errorf("%s restarted: the new process got no range\n%s", role, s.traceTail())
		}
	}
}

// In a cell of two the deputy fails. The leader must continue without a deputy, and
// name the next process that joins.
func TestLeaderOfTwoContinuesWithoutDeputy(t *testing.T) {
	s := stableCell(t, 2)
	s.kill(s.deputyProc())
	s.runUntil(2*failoverLimit, s.covered)
	s.run(10 * time.Second)
	if d := s.leaderProc().node.ledger.Deputy(); !d.IsZero() {
		t.Fatalf("deputy %v, want none", d)
	}
	s.start(testConfig("t9", 1))
	s.runUntil(5*time.Second, func() bool { return s.leaderProc().node.ledger.Deputy().Instance == "t9" })
	s.run(20 * time.Second)
	if n := s.expirations(); n > 0 {
		t.Errorf("%d leases expired", n)
	}
	s.requireSingleHolder()
}

// A deputy that was replaced and is named again must restart its timeouts. With
// those of its former role it would claim before the leader's first heartbeat,
// which is delayed here.
func TestDeputyNamedAgainDoesNotClaim(t *testing.T) {
	s := stableCell(t, 3)
	leader, first := s.leaderProc(), s.deputyProc()
	term := leader.node.ledger.Term()
	s.cut = func(from, to ident.Instance) bool { return from == first.id.Instance && to == leader.id.Instance }
	s.run(2 * time.Second)
	s.cut = nil
	s.run(5 * time.Second)
	second := s.deputyProc()
	if second == first {
		t.Fatal("the deputy was not replaced")
	}
	first.node.deputy.unconfirmed = maxUnconfirmed
	s.delay = func(to ident.Instance, m Message) time.Duration {
		if to == first.id.Instance && m.Heartbeat != nil {
			return simLongPoll + simLogDelay
		}
		return 0
	}
	s.kill(second)
	s.run(3 * time.Second)
	if s.leaderProc() != leader || leader.node.ledger.Term() != term || s.deputyProc() != first {
		t.Errorf("the deputy that was named again claimed\n%s", s.traceTail())
	}
	s.requireSingleHolder()
}

func TestLeaderWithoutLogReadsStopsGranting(t *testing.T) {
	s := stableCell(t, 4)
	s.logDown = true
	s.run(s.leaderProc().node.cfg.MaxLogStaleness - 5*time.Second)
	if !s.covered() {
		t.Fatal("ranges are not held before the maximum log staleness is reached")
	}
	s.run(10 * time.Second)
	for _, p := range s.procs {
		if len(p.node.holdings(s.now)) > 0 {
			t.Errorf("%v still holds grants beyond the maximum log staleness", p.id)
		}
	}
	s.logDown = false
	s.runUntil(failoverLimit, s.covered)
	s.requireSingleHolder()
}

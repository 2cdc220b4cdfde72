package cell

import (
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/ident"
)

func TestLossOfAnyOneCausesNoLapse(t *testing.T) {
	for _, role := range []string{"plain", "leader", "deputy", "log"} {
		s := settled(t, 5)
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
		if n := s.lapses(); n > 0 {
			t.Errorf("%s lost: %d leases of healthy members lapsed\n%s", role, n, s.tail())
		}
		s.exclusive()
	}
}

func TestLossOfLeaderAtEveryMomentCausesNoLapse(t *testing.T) {
	for offset := time.Duration(0); offset < time.Second; offset += 30 * time.Millisecond {
		s := settled(t, 5)
		s.run(offset)
		s.kill(s.leaderProc())
		took := s.runUntil(lossLimit, s.covered)
		s.run(3 * time.Second)
		if n := s.lapses(); n > 0 {
			t.Errorf("killed after %v: %d leases of healthy members lapsed, served again after %v", offset, n, took)
		}
		s.exclusive()
	}
}

func TestMemberLostInLogOutageIsReplacedAndWrittenLater(t *testing.T) {
	s := settled(t, 4)
	s.logDown = true
	s.run(3 * time.Second)
	s.kill(s.plainProc())
	s.runUntil(lossLimit, s.covered)
	leader := s.leaderProc()
	if leader.node.View(s.now).Provisional == 0 {
		t.Fatal("no provisional assignment while the log is down")
	}
	before := leader.node.assignments()
	s.run(10 * time.Second)
	s.logDown = false
	s.run(3 * time.Second)
	if got := leader.node.View(s.now).Provisional; got != 0 {
		t.Errorf("%d assignments still provisional after the log returned", got)
	}
	if changed := changedGrants(before, leader.node.ledger.Assignments()); len(changed) > 0 {
		t.Errorf("assignments changed on return of the log: %v", changed)
	}
	s.exclusive()
}

func TestProvisionalAssignmentSurvivesLossOfLeader(t *testing.T) {
	s := settled(t, 4)
	s.logDown = true
	s.kill(s.plainProc())
	s.runUntil(lossLimit, s.covered)
	granted := s.leaderProc().node.assignments()
	s.logDown = false
	s.dropsAppends = false
	leader := s.leaderProc()
	s.logCut = func(node ident.Instance) bool { return node == leader.id.Instance }
	s.kill(leader)
	s.runUntil(lossLimit, s.covered)
	now := s.leaderProc().node.assignments()
	for _, g := range granted {
		if g.Owner != leader.id && len(changedGrants(now, []Grant{g})) > 0 {
			t.Errorf("the acknowledged grant %v was lost", g)
		}
	}
	s.exclusive()
}

func TestLostAnswersAndLostAppendsOfRoleRecords(t *testing.T) {
	for _, role := range []string{"leader", "deputy"} {
		for _, fault := range []string{"answer", "append"} {
			s := settled(t, 4)
			s.losesAnswers = fault == "answer"
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
				t.Errorf("%s lost, %s lost: not covered\n%s", role, fault, s.tail())
			}
			s.exclusive()
		}
	}
}

func TestFrozenLeaderWakesWithoutASecondHolder(t *testing.T) {
	for _, role := range []string{"leader", "deputy", "plain"} {
		for freeze := time.Second; freeze <= 8*time.Second; freeze += 700 * time.Millisecond {
			s := settled(t, 4)
			p := map[string]*simProc{"plain": s.plainProc(), "leader": s.leaderProc(), "deputy": s.deputyProc()}[role]
			p.frozen = true
			s.run(freeze)
			s.thaw(p)
			s.run(10 * time.Second)
			s.exclusive()
			if !s.covered() {
				t.Errorf("%s frozen for %v: not covered\n%s", role, freeze, s.tail())
			}
		}
	}
}

func TestRestartedInstanceHoldsNoRole(t *testing.T) {
	for _, role := range []string{"plain", "leader", "deputy"} {
		s := settled(t, 4)
		p := map[string]*simProc{"plain": s.plainProc(), "leader": s.leaderProc(), "deputy": s.deputyProc()}[role]
		s.kill(p)
		s.start(testConfig(string(p.id.Instance), 2))
		s.run(100 * time.Millisecond)
		if held := s.proc(string(p.id.Instance)).held; len(held) > 0 {
			t.Errorf("%s restarted: the new process holds %v at once", role, held)
		}
		if next := s.proc(string(p.id.Instance)).node; next.leader != nil || next.deputy.named {
			t.Errorf("%s restarted: the new process has a role at once", role)
		}
		s.runUntil(lossLimit, s.covered)
		s.run(20 * time.Second)
		s.exclusive()
		if n := len(s.proc(string(p.id.Instance)).held); n == 0 {
			t.Errorf("%s restarted: the new process was given no range\n%s", role, s.tail())
		}
	}
}

func TestCellOfTwoGoesOnAloneAndTakesANewDeputy(t *testing.T) {
	s := settled(t, 2)
	s.kill(s.deputyProc())
	s.runUntil(2*lossLimit, s.covered)
	s.run(10 * time.Second)
	if d := s.leaderProc().node.ledger.Deputy(); !d.IsZero() {
		t.Fatalf("deputy %v, want none", d)
	}
	s.start(testConfig("t9", 1))
	s.runUntil(5*time.Second, func() bool { return s.leaderProc().node.ledger.Deputy().Instance == "t9" })
	s.run(20 * time.Second)
	if n := s.lapses(); n > 0 {
		t.Errorf("%d leases lapsed", n)
	}
	s.exclusive()
}

// A deputy that was replaced and is named again must not judge the leader by
// what it heard in between.
func TestDeputyNamedAgainDoesNotClaim(t *testing.T) {
	s := settled(t, 3)
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
	first.node.deputy.stalled = maxStalled
	s.delay = func(to ident.Instance, m Message) time.Duration {
		if to == first.id.Instance && m.Heartbeat != nil {
			return simLongPoll + simLogDelay
		}
		return 0
	}
	s.kill(second)
	s.run(3 * time.Second)
	if s.leaderProc() != leader || leader.node.ledger.Term() != term || s.deputyProc() != first {
		t.Errorf("the deputy that was named again claimed\n%s", s.tail())
	}
	s.exclusive()
}

func TestBlindLeaderStopsGranting(t *testing.T) {
	s := settled(t, 4)
	s.logDown = true
	s.run(s.leaderProc().node.cfg.MaxLogStaleness - 5*time.Second)
	if !s.covered() {
		t.Fatal("ranges wait before the blind limit")
	}
	s.run(10 * time.Second)
	for _, p := range s.procs {
		if len(p.node.holdings(s.now)) > 0 {
			t.Errorf("%v still holds grants past the blind limit", p.id)
		}
	}
	s.logDown = false
	s.runUntil(lossLimit, s.covered)
	s.exclusive()
}

package cell

import (
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/ident"
)

// cellWithoutPair returns a cell whose leader and deputy have failed, and the two
// processes.
func cellWithoutPair(t *testing.T) (*sim, ident.Node, ident.Node) {
	s := stableCell(t, 4)
	leader, deputy := s.leaderProc(), s.deputyProc()
	s.kill(leader)
	s.kill(deputy)
	return s, leader.id, deputy.id
}

func TestRecoveryWaitsForMaxLogStaleness(t *testing.T) {
	s, _, _ := cellWithoutPair(t)
	s.runUntil(30*time.Second, func() bool { return s.leaderProc() != nil })
	claimed := s.now
	took := s.runUntil(2*time.Minute, s.covered)
	if took < s.procs[0].node.cfg.MaxLogStaleness {
		t.Errorf("granted %v after the claim of %v, before the maximum log staleness", took, claimed)
	}
	s.requireSingleHolder()
}

// A recovery leader need not wait for the maximum log staleness once an operator has
// confirmed the loss of the former leader.
func TestConfirmedLossEndsTheWait(t *testing.T) {
	s, leader, _ := cellWithoutPair(t)
	s.runUntil(30*time.Second, func() bool { return s.leaderProc() != nil })
	s.step(s.leaderProc(), ConfirmLoss{Node: leader, Operator: "anna"})
	took := s.runUntil(10*time.Second, s.covered)
	t.Logf("covered %v after the confirmation", took)
	s.requireSingleHolder()
}

// A recovery leader need not wait for the maximum log staleness once the former
// leader's instance has announced a new process.
func TestRestartOfTheOldPairEndsTheWait(t *testing.T) {
	s, leader, _ := cellWithoutPair(t)
	s.run(time.Second)
	s.start(testConfig(string(leader.Instance), 2))
	took := s.runUntil(40*time.Second, s.covered)
	t.Logf("covered %v after the restart", took)
	s.requireSingleHolder()
}

// Leader and deputy are cut off from the other members, but not from the log.
// They must object to a recovery.
func TestWorkingPairObjectsToRecovery(t *testing.T) {
	s := stableCell(t, 4)
	pair := []ident.Instance{s.leaderProc().id.Instance, s.deputyProc().id.Instance}
	inPair := func(i ident.Instance) bool { return i == pair[0] || i == pair[1] }
	s.cut = func(from, to ident.Instance) bool { return inPair(from) != inPair(to) }
	term := s.leaderProc().node.ledger.Term()
	s.run(40 * time.Second)
	if got := s.leaderProc().node.ledger.Term(); got != term {
		t.Errorf("members that were cut off replaced an active pair\n%s", s.traceTail())
	}
	s.requireSingleHolder()
}

// Leader and deputy are cut off from the other members and from the log, but stay
// active. The members recover, and must not grant ranges that the pair still holds.
func TestRecoveryWhileAnIsolatedPairIsActive(t *testing.T) {
	s := stableCell(t, 4)
	pair := []ident.Instance{s.leaderProc().id.Instance, s.deputyProc().id.Instance}
	inPair := func(i ident.Instance) bool { return i == pair[0] || i == pair[1] }
	s.cut = func(from, to ident.Instance) bool { return inPair(from) != inPair(to) }
	s.logCut = inPair
	s.run(100 * time.Second)
	s.requireSingleHolder()
	s.cut, s.logCut = nil, nil
	s.runUntil(20*time.Second, s.covered)
	s.run(10 * time.Second)
	s.requireSingleHolder()
}

// A deputy's claim is appended late, when deputy and leader are cut off from the
// log but still active. The deputy named by the claim must not take over while
// the old pair may be active, even though the claim sets Active.
func TestDeputyOfAnUnreadClaimWaitsForTheOldPair(t *testing.T) {
	s := stableCell(t, 5)
	leader, deputy := s.leaderProc(), s.deputyProc()
	pair := []ident.Instance{leader.id.Instance, deputy.id.Instance}
	inPair := func(i ident.Instance) bool { return i == pair[0] || i == pair[1] }
	s.logCut = inPair
	s.cut = func(from, to ident.Instance) bool { return inPair(from) != inPair(to) }
	s.appendRecord(Record{Claim: &Claim{
		Nonce: 77, ExpectedVersion: deputy.node.ledger.state.RolesVersion, Kind: ClaimTakeover,
		Candidate: deputy.id, Deputy: s.plainProc().id, Active: true, State: deputy.node.deputyState(),
	}})
	s.run(50 * time.Second)
	s.requireSingleHolder()
}

// An operator confirms the loss of a process that is still running. It must drop
// its role and grants.
func TestProcessConfirmedLostDropsRoleAndGrants(t *testing.T) {
	s := stableCell(t, 4)
	p := s.leaderProc()
	s.step(s.plainProc(), ConfirmLoss{Node: p.id, Operator: "anna"})
	s.run(5 * time.Second)
	if len(p.held) > 0 || p.node.leader != nil || p.err == nil {
		t.Errorf("holds %d grants, error %v", len(p.held), p.err)
	}
	if !s.covered() {
		t.Errorf("not covered\n%s", s.traceTail())
	}
	s.requireSingleHolder()
}

// If targets do not check fencing tokens, a range must not be granted again before
// TargetMargin has passed after the end of the lease.
func TestTargetMarginIsWaitedFor(t *testing.T) {
	const margin = 3 * time.Second
	s := stableCell(t, 4)
	for _, p := range s.procs {
		p.node.cfg.TargetMargin = margin
	}
	failed := s.plainProc()
	s.kill(failed)
	end := failed.held[0].Expires
	s.runUntil(10*time.Second, s.covered)
	if s.now < end.Add(margin) {
		t.Errorf("granted again %v after the lease ended, want %v", s.now.Sub(end), margin)
	}
}

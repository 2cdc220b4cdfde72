package cell

import (
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/ident"
)

// lostPair returns a cell that has lost leader and deputy.
func lostPair(t *testing.T) (*sim, ident.Node, ident.Node) {
	s := settled(t, 4)
	leader, deputy := s.leaderProc(), s.deputyProc()
	s.kill(leader)
	s.kill(deputy)
	return s, leader.id, deputy.id
}

func TestRecoveryWaitsForTheBlindLimit(t *testing.T) {
	s, _, _ := lostPair(t)
	s.runUntil(30*time.Second, func() bool { return s.leaderProc() != nil })
	claimed := s.now
	took := s.runUntil(2*time.Minute, s.covered)
	if took < s.procs[0].node.cfg.MaxLogStaleness {
		t.Errorf("granted %v after the claim of %v, before the blind limit", took, claimed)
	}
	s.exclusive()
}

func TestConfirmedLossEndsTheWait(t *testing.T) {
	s, leader, _ := lostPair(t)
	s.runUntil(30*time.Second, func() bool { return s.leaderProc() != nil })
	s.step(s.leaderProc(), ConfirmLoss{Node: leader, Operator: "anna"})
	took := s.runUntil(10*time.Second, s.covered)
	t.Logf("served %v after the confirmation", took)
	s.exclusive()
}

func TestRestartOfTheOldPairEndsTheWait(t *testing.T) {
	s, leader, _ := lostPair(t)
	s.run(time.Second)
	s.start(testConfig(string(leader.Instance), 2))
	took := s.runUntil(40*time.Second, s.covered)
	t.Logf("served %v after the restart", took)
	s.exclusive()
}

// The pair is cut off from the members, but not from the log: it objects.
func TestWorkingPairObjectsToRecovery(t *testing.T) {
	s := settled(t, 4)
	pair := []ident.Instance{s.leaderProc().id.Instance, s.deputyProc().id.Instance}
	inPair := func(i ident.Instance) bool { return i == pair[0] || i == pair[1] }
	s.cut = func(from, to ident.Instance) bool { return inPair(from) != inPair(to) }
	term := s.leaderProc().node.ledger.Term()
	s.run(40 * time.Second)
	if got := s.leaderProc().node.ledger.Term(); got != term {
		t.Errorf("a cut-off member deposed a working pair\n%s", s.tail())
	}
	s.exclusive()
}

// The pair is cut off from the members and from the log. The members recover,
// and must not grant what the pair still holds.
func TestRecoveryWhileThePairWorksUnseen(t *testing.T) {
	s := settled(t, 4)
	pair := []ident.Instance{s.leaderProc().id.Instance, s.deputyProc().id.Instance}
	inPair := func(i ident.Instance) bool { return i == pair[0] || i == pair[1] }
	s.cut = func(from, to ident.Instance) bool { return inPair(from) != inPair(to) }
	s.logCut = inPair
	s.run(100 * time.Second)
	s.exclusive()
	s.cut, s.logCut = nil, nil
	s.runUntil(20*time.Second, s.covered)
	s.run(10 * time.Second)
	s.exclusive()
}

// A deputy's claim lands late. Its own deputy must not take over on its word
// alone while the old pair, cut off from the log, still works.
func TestDeputyOfAnUnreadClaimWaitsForTheOldPair(t *testing.T) {
	s := settled(t, 5)
	leader, deputy := s.leaderProc(), s.deputyProc()
	pair := []ident.Instance{leader.id.Instance, deputy.id.Instance}
	inPair := func(i ident.Instance) bool { return i == pair[0] || i == pair[1] }
	s.logCut = inPair
	s.cut = func(from, to ident.Instance) bool { return inPair(from) != inPair(to) }
	s.land(Record{Claim: &Claim{
		Nonce: 77, Base: deputy.node.ledger.state.RolesVersion, Kind: ClaimTakeover,
		Candidate: deputy.id, Deputy: s.plainProc().id, Active: true, State: deputy.node.deputyState(),
	}})
	s.run(50 * time.Second)
	s.exclusive()
}

// An operator confirms the loss of a process that still runs.
func TestProcessDeclaredLostGivesUp(t *testing.T) {
	s := settled(t, 4)
	p := s.leaderProc()
	s.step(s.plainProc(), ConfirmLoss{Node: p.id, Operator: "anna"})
	s.run(5 * time.Second)
	if len(p.held) > 0 || p.node.leader != nil || p.err == nil {
		t.Errorf("holds %d grants, error %v", len(p.held), p.err)
	}
	if !s.covered() {
		t.Errorf("not covered\n%s", s.tail())
	}
	s.exclusive()
}

// Where targets do not check tokens, a range waits for the margin as well.
func TestTargetMarginIsWaitedFor(t *testing.T) {
	const margin = 3 * time.Second
	s := settled(t, 4)
	for _, p := range s.procs {
		p.node.cfg.TargetMargin = margin
	}
	lost := s.plainProc()
	s.kill(lost)
	end := lost.held[0].Expires
	s.runUntil(10*time.Second, s.covered)
	if s.now < end.Add(margin) {
		t.Errorf("granted again %v after the lease ended, want %v", s.now.Sub(end), margin)
	}
}

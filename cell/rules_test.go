package cell

import (
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/ident"
)

// ruleTest is a scenario in which a fault violates the guarantees of the cell. Run
// returns a description of the violation, or "" if there is none besides a
// conflict that the sim has recorded.
type ruleTest struct {
	name  string
	fault Fault
	size  int
	run   func(s *sim) (violation string)
}

func ruleTests() []ruleTest {
	return []ruleTest{
		{"a new assignment is committed before it is granted", FaultGrantBeforeCommit, 5, renewedByTheDeputy},
		{"a deputy that has read its claim does not extend the old leader's lease", FaultExtendAfterClaim, 5, oldLeaderReachesDeputyAfterClaim},
		{"committed assignments survive the failure of the leader", FaultForgetProvisional, 4, forgetProvisional},
		{"tokens increase with each grant", FaultTokenReuse, 4, tokenReuse},
		{"a recovery leader grants no ranges before the old pair has stopped", FaultRecoverKeepsRanges, 4, isolatedPair},
		{"a leader grants no leases beyond the maximum log staleness", FaultIgnoreMaxLogStaleness, 4, isolatedPair},
		{"an owner accepts no message of an older term", FaultFollowOldTerm, 4, lateLeaseOfOldTerm},
		{"both deputies extend the lease while the record is indeterminate", FaultIgnoreIndeterminateDeputy, 3, indeterminateDeputyRecord},
		{"a lease counts from the sending of its request", FaultCountFromReceipt, 4, lateLease},
		{"a new process holds no grants of the old one", FaultKeepRoleAfterRestart, 5, restartOfALeader},
	}
}

func TestEachRuleIsNeeded(t *testing.T) {
	for _, tt := range ruleTests() {
		for _, fault := range []Fault{FaultNone, tt.fault} {
			s := newFaultySim(t, tt.size, fault)
			s.runUntil(10*time.Second, func() bool {
				return s.covered() && s.leaderProc() != nil && !s.leaderProc().node.ledger.Deputy().IsZero()
			})
			s.run(5 * time.Second)
			violation := tt.run(s)
			if violation == "" {
				violation = s.conflict
			}
			if fault == FaultNone && violation != "" {
				t.Errorf("%s: %s\n%s", tt.name, violation, s.traceTail())
			}
			if fault != FaultNone {
				t.Logf("%s: with the fault: %s", tt.name, violation)
			}
			if fault != FaultNone && violation == "" {
				t.Errorf("%s: the fault caused no violation\n%s", tt.name, s.traceTail())
			}
		}
	}
}

// The leader loses contact with an owner, then with its deputy. The deputy takes
// over and renews the owner's lease in time, while the leader's own lease is still
// valid.
func renewedByTheDeputy(s *sim) string {
	leader, deputy := s.leaderProc().id.Instance, s.deputyProc().id.Instance
	owner := s.plainProc().id.Instance
	alone := false
	s.cut = func(from, to ident.Instance) bool {
		if from != leader && to != leader {
			return false
		}
		return from == owner || to == owner || alone
	}
	s.run(800 * time.Millisecond)
	alone = true
	s.logCut = func(node ident.Instance) bool { return node == leader }
	s.run(5 * time.Second)
	if s.proc(string(deputy)).node.leader == nil {
		return "the deputy has not taken over"
	}
	return ""
}

// The deputy claims while heartbeats are lost. Later the heartbeats of the old
// leader, which cannot read the log, reach it again.
func oldLeaderReachesDeputyAfterClaim(s *sim) string {
	leader, deputy := s.leaderProc().id.Instance, s.deputyProc().id.Instance
	owner := s.plainProc().id.Instance
	apart := func(a, b ident.Instance) bool {
		return a == leader && b != owner && b != deputy || a == deputy && b == owner
	}
	heartbeatsLost := true
	s.logCut = func(node ident.Instance) bool { return node == leader }
	s.cut = func(from, to ident.Instance) bool {
		return apart(from, to) || apart(to, from) || heartbeatsLost && from == leader && to == deputy
	}
	s.drop = func(_, to ident.Instance, m Message) bool { return to == leader && m.LeaderNotice != nil }
	s.run(1200 * time.Millisecond)
	heartbeatsLost = false
	s.run(10 * time.Second)
	return ""
}

// A range is reassigned while the log is down; then the leader fails before it
// has appended the assignment.
func forgetProvisional(s *sim) string {
	s.logDown = true
	s.kill(s.plainProc())
	s.run(failoverLimit)
	leader := s.leaderProc()
	granted := leader.node.assignments()
	s.kill(leader)
	s.logDown = false
	s.run(failoverLimit)
	now := s.leaderProc().node.assignments()
	for _, g := range granted {
		if g.Owner != leader.id && len(changedGrants(now, []Grant{g})) > 0 {
			return "the committed grant " + describeGrant(g) + " was lost"
		}
	}
	return ""
}

func tokenReuse(s *sim) string {
	s.kill(s.plainProc())
	s.run(failoverLimit)
	for i, g := range s.acked {
		for _, earlier := range s.acked[:i] {
			if earlier.Range.Overlaps(g.Range) && !earlier.Token.Less(g.Token) {
				return describeGrant(g) + " after " + describeGrant(earlier)
			}
		}
	}
	return ""
}

// Leader and deputy are cut off from the log and from the other members.
func isolatedPair(s *sim) string {
	leader, deputy := s.leaderProc().id.Instance, s.deputyProc().id.Instance
	inPair := func(i ident.Instance) bool { return i == leader || i == deputy }
	s.cut = func(from, to ident.Instance) bool { return inPair(from) != inPair(to) }
	s.logCut = inPair
	s.run(100 * time.Second)
	return ""
}

// A lease of the old leader arrives after its ranges have been moved in a new term.
func lateLeaseOfOldTerm(s *sim) string {
	old := s.leaderProc()
	owner := s.plainProc()
	late := Message{Lease: &Lease{Term: old.node.ledger.Term(), Version: 100, Flags: leaseGrants, To: owner.id.Incarnation}}
	for _, h := range owner.held {
		late.Lease.Grants = append(late.Lease.Grants, h.Grant)
	}
	s.kill(old)
	s.run(failoverLimit)
	s.step(owner, TargetState{Ready: false})
	s.runUntil(10*time.Second, func() bool { return len(owner.held) == 0 })
	s.run(time.Second)
	s.step(owner, Received{From: old.id, Message: late})
	return ""
}

// The leader's record that names a former deputy again is appended late. Meanwhile
// the current deputy takes over, but neither the leader nor the former deputy can
// read its claim.
func indeterminateDeputyRecord(s *sim) string {
	leader, first := s.leaderProc().id.Instance, s.deputyProc().id.Instance
	second := s.plainProc().id.Instance
	between := func(a, b, from, to ident.Instance) bool { return a == from && b == to || a == to && b == from }
	s.cut = func(from, to ident.Instance) bool { return between(leader, first, from, to) }
	s.logCut = func(node ident.Instance) bool { return node == first }
	s.run(3 * time.Second)
	s.cut, s.logCut = nil, nil
	s.run(3 * time.Second)
	s.cut = func(from, to ident.Instance) bool { return from == second || to == second }
	s.appendDelay = func() time.Duration { return time.Minute }
	s.runUntil(3*time.Second, func() bool { return len(s.leaderProc().node.appends.deputyChanges) > 0 })
	s.run(2 * simLogDelay)
	s.appendDelay = nil
	s.logCut = func(node ident.Instance) bool { return node != second }
	s.run(15 * time.Second)
	return ""
}

// A Lease message is delayed, and the owner's next renewals are lost.
func lateLease(s *sim) string {
	owner := s.plainProc().id.Instance
	late := false
	s.delay = func(to ident.Instance, m Message) time.Duration {
		if to != owner || m.Lease == nil || m.Lease.Request == 0 || late {
			return 0
		}
		late = true
		s.cut = func(from, _ ident.Instance) bool { return from == owner }
		return 1500 * time.Millisecond
	}
	s.run(6 * time.Second)
	return ""
}

// A process that led the cell and held ranges restarts after its ranges were
// granted to other processes.
func restartOfALeader(s *sim) string {
	s.kill(s.leaderProc())
	s.run(failoverLimit)
	s.run(5 * time.Second)
	second := s.leaderProc()
	s.kill(second)
	s.run(failoverLimit)
	cfg := testConfig(string(second.id.Instance), 2)
	cfg.Fault = second.node.cfg.Fault
	s.start(cfg)
	s.run(3 * time.Second)
	return ""
}

// Leader and deputy are cut off from the log but stay active. The deputy releases
// its ranges to the leader, and follows a recovery leader immediately afterwards.
// It must not hold the released ranges again under its lease of the old term.
func TestRecoveryLeaderSendsNoGrantsBeforeActivation(t *testing.T) {
	s := stableCell(t, 4)
	leader, deputy := s.leaderProc().id.Instance, s.deputyProc()
	s.logCut = func(node ident.Instance) bool { return node == leader || node == deputy.id.Instance }
	s.cut = func(from, to ident.Instance) bool {
		return from == leader && to != deputy.id.Instance || to == leader && from != deputy.id.Instance
	}
	before := len(s.records)
	s.runUntil(20*time.Second, func() bool { return len(s.records) > before })
	s.run(3900 * time.Millisecond)
	s.step(deputy, TargetState{Ready: false})
	s.run(10 * time.Second)
	s.requireSingleHolder()
}

package cell

import (
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/ident"
)

// A planned stop must release all ranges and hand over the role without an expired
// lease.
func TestLeavingProcessHandsOverWithoutLapse(t *testing.T) {
	for _, role := range []string{"plain", "leader", "deputy"} {
		s := stableCell(t, 4)
		p := map[string]*simProc{"plain": s.plainProc(), "leader": s.leaderProc(), "deputy": s.deputyProc()}[role]
		s.step(p, Leave{})
		took := s.runUntil(10*time.Second, func() bool { return p.left })
		t.Logf("%s left after %v", role, took)
		if p.expirations > 0 {
			t.Errorf("%s: grants expired instead of being released", role)
		}
		p.alive = false
		s.runUntil(100*time.Millisecond, s.covered)
		s.run(10 * time.Second)
		if n := s.expirations(); n > 0 {
			t.Errorf("%s: %d leases expired", role, n)
		}
		s.requireSingleHolder()
	}
}

func TestAllMembersLeaveOneAfterTheOther(t *testing.T) {
	s := stableCell(t, 3)
	for _, p := range s.procs {
		s.step(p, Leave{})
		s.runUntil(20*time.Second, func() bool { return p.left })
		p.alive = false
		s.run(2 * time.Second)
		s.requireSingleHolder()
	}
}

func TestAllMembersLeaveAtOnce(t *testing.T) {
	s := stableCell(t, 3)
	for _, p := range s.procs {
		s.step(p, Leave{})
	}
	s.runUntil(30*time.Second, func() bool {
		for _, p := range s.procs {
			if !p.left {
				return false
			}
		}
		return true
	})
	s.requireSingleHolder()
}

func TestNewMemberGetsAShare(t *testing.T) {
	s := stableCell(t, 3)
	s.start(testConfig("t9", 1))
	s.runUntil(20*time.Second, func() bool { return len(s.proc("t9").held) == 2 })
	if n := s.expirations(); n > 0 {
		t.Errorf("%d leases expired", n)
	}
	s.requireSingleHolder()
}

func TestUnreadyTargetIsGivenNoRange(t *testing.T) {
	s := stableCell(t, 4)
	p := s.plainProc()
	s.step(p, TargetState{Ready: false})
	s.runUntil(10*time.Second, func() bool { return len(p.held) == 0 })
	s.step(p, TargetState{Ready: true})
	s.runUntil(10*time.Second, func() bool { return len(p.held) > 0 })
	s.requireSingleHolder()
}

// The new owner fails during a handover.
func TestHandoverWhoseNewOwnerIsLost(t *testing.T) {
	for _, wait := range []time.Duration{5, 15, 25, 30, 40, 50} {
		s := stableCell(t, 4)
		p := s.plainProc()
		s.step(p, Leave{})
		s.run(wait * time.Millisecond)
		for _, m := range s.leaderProc().node.leader.moves {
			if to := s.proc(string(m.to.Instance)); to != s.leaderProc() && to != p {
				s.kill(to)
				break
			}
		}
		s.runUntil(20*time.Second, func() bool { return p.left })
		p.alive = false
		s.runUntil(10*time.Second, s.covered)
		s.requireSingleHolder()
	}
}

// A Release can be delivered twice: after the first one the owner resumes admission
// and the leader cancels the handover, and after the second one the owner releases
// the range. The leader must assign the range to a new owner then, even if the
// first ReleaseDone messages are lost.
func TestReleaseAfterACancelledHandoverIsProcessed(t *testing.T) {
	s := stableCell(t, 4)
	p := s.plainProc()
	grant := p.held[0].Grant
	dropped := 0
	s.drop = func(from, _ ident.Instance, m Message) bool {
		if from == p.id.Instance && m.ReleaseDone != nil && dropped < 2 {
			dropped++
			return true
		}
		return false
	}
	s.step(p, Received{From: p.node.follower.leader, Message: Message{Release: &Release{Term: p.node.follower.term, Grant: grant}}})
	s.run(100 * time.Millisecond)
	if s.covered() {
		t.Fatal("the range was not released")
	}
	s.runUntil(failoverLimit, s.covered)
	s.requireSingleHolder()
}

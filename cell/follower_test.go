package cell

import (
	"strings"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// expiry returns when the member's lease ends, and the Renew that it sent last.
func lastRenew(t *testing.T, p *simProc) renewal {
	t.Helper()
	f := &p.node.follower
	return f.renewals[f.nextRequest%renewHistory]
}

func TestLeaseExtendsOnlyTheGrantsThatItNumbers(t *testing.T) {
	s := settled(t, 4)
	p := s.plainProc()
	f := &p.node.follower
	s.drop = func(_, to ident.Instance, _ Message) bool { return to == p.id.Instance }
	s.run(700 * time.Millisecond)
	before := f.expires
	lease := Lease{Term: f.term, Request: lastRenew(t, p).request, Micros: 2_000_000, Version: f.version + 1}
	s.step(p, Received{From: f.leader, Message: Message{Lease: &lease}})
	if f.expires != before {
		t.Error("a lease for other grants was taken")
	}
	lease.Version = f.version
	lease.Request += 1000
	s.step(p, Received{From: f.leader, Message: Message{Lease: &lease}})
	if f.expires != before {
		t.Error("a lease for a Renew that was not sent was taken")
	}
	lease.Request -= 1000
	s.step(p, Received{From: f.leader, Message: Message{Lease: &lease}})
	if f.expires <= before {
		t.Error("the right lease was not taken")
	}
}

func TestGrantsForAnotherProcessAreIgnored(t *testing.T) {
	s := settled(t, 4)
	p := s.plainProc()
	f := &p.node.follower
	lease := Lease{Term: f.term, Version: f.version + 1, Flags: leaseGrants, To: p.id.Incarnation - 1}
	s.step(p, Received{From: f.leader, Message: Message{Lease: &lease}})
	if len(f.grants) == 0 {
		t.Error("the grants of an older process of the instance were taken")
	}
	older := f.grants[0]
	older.Owner.Incarnation--
	lease.To = p.id.Incarnation
	lease.Grants = []Grant{older}
	s.step(p, Received{From: f.leader, Message: Message{Lease: &lease}})
	if f.version == lease.Version {
		t.Error("a grant of an older process was taken")
	}
}

func TestReleaseOfARangeHeldInOtherBoundsIsNotConfirmed(t *testing.T) {
	s := settled(t, 4)
	p := s.plainProc()
	part := p.held[0].Grant
	part.Range.Last--
	landed := len(s.sent)
	s.step(p, Received{From: p.node.follower.leader, Message: Message{Release: &Release{Term: p.node.follower.term, Grant: part}}})
	if len(s.sent) != landed {
		t.Error("the release of a part of a held range was confirmed")
	}
}

func TestSlowReadCountsFromItsStart(t *testing.T) {
	s := settled(t, 3)
	s.logDown = true
	s.run(10 * time.Second)
	p := s.leaderProc()
	started := s.now.Add(-4 * time.Second)
	next := platformlog.Offset(len(s.records) + 1)
	s.step(p, LogRead{Started: started, From: next, Batch: platformlog.Batch{Earliest: 1, Next: next}})
	if got := p.node.View(s.now).LastTail; got != started {
		t.Errorf("read started at %v counts as of %v", started, got)
	}
}

// A deputy's claim lands unread, its own deputy takes over in turn, and the
// first one hears of that before it reads the log.
func TestOwnClaimOfAnOlderTermThanTheOneFollowed(t *testing.T) {
	s := settled(t, 4)
	deputy, next := s.deputyProc(), s.plainProc()
	s.logCut = func(node ident.Instance) bool { return node == deputy.id.Instance }
	first := s.land(Record{Claim: &Claim{
		Nonce: 77, Base: deputy.node.ledger.state.RolesVersion, Kind: ClaimTakeover,
		Candidate: deputy.id, Deputy: next.id, State: deputy.node.deputyState(),
	}})
	s.land(Record{Claim: &Claim{
		Nonce: 78, Base: uint64(first), Kind: ClaimTakeover, Candidate: next.id,
		State: State{Term: uint64(first), Grants: deputy.node.deputyState().Grants},
	}})
	s.runUntil(2*time.Second, func() bool { return deputy.node.follower.leader == next.id })
	s.logCut = nil
	s.run(10 * time.Second)
	if f := &deputy.node.follower; f.leader != next.id || len(deputy.held) == 0 {
		t.Errorf("follows %v and holds %d grants", f.leader, len(deputy.held))
	}
	s.exclusive()
}

func TestLeavingProcessWaitsForWorkOfLapsedRanges(t *testing.T) {
	s := settled(t, 4)
	p := s.plainProc()
	s.cut = func(from, to ident.Instance) bool { return from == p.id.Instance || to == p.id.Instance }
	s.run(time.Second)
	s.step(p, Leave{})
	s.run(time.Second)
	p.node.cfg.DrainLimit = time.Minute
	s.cut = nil
	s.runUntil(10*time.Second, func() bool { return p.left })
	trace := s.trace.String()
	lapsed := strings.LastIndex(trace, string(p.id.Instance)+": holds nothing")
	if released := strings.LastIndex(trace, string(p.id.Instance)+": releases"); released < lapsed {
		t.Errorf("left without waiting for the work of lapsed ranges\n%s", s.tail())
	}
	s.exclusive()
}

// The bounds of ranges change, the owner does not learn of it, and the deputy
// takes over.
func TestSplitUnknownToItsOwnerSurvivesATakeover(t *testing.T) {
	s := settled(t, 4)
	leader, owner := s.leaderProc(), s.plainProc()
	s.drop = func(_, to ident.Instance, m Message) bool {
		return to == owner.id.Instance && m.Lease != nil && m.Lease.Flags&leaseGrants != 0
	}
	old := owner.held[0].Grant
	middle := old.Range.First + 1000
	leader.node.applyBounds(BalancePlan{Splits: []BalanceSplit{{Range: old.Range, Parts: cutAround(RangeLoad{Range: old.Range, HotPoint: middle})}}})
	s.run(300 * time.Millisecond)
	s.kill(leader)
	s.drop = nil
	s.runUntil(lossLimit, s.covered)
	if owner.lapses > 0 || s.leaderProc().node.leader.table.entry(old.Range) != nil {
		t.Errorf("%d lapses of the owner of a split range\n%s", owner.lapses, s.tail())
	}
	s.exclusive()
}

// The leader hears nobody, but is heard; or nobody hears it, but it hears all.
func TestLeaderBehindAOneWayLinkIsDeposedWithoutLapse(t *testing.T) {
	for _, deaf := range []bool{true, false} {
		for offset := time.Duration(0); offset < 700*time.Millisecond; offset += 50 * time.Millisecond {
			s := settled(t, 4)
			leader := s.leaderProc()
			s.run(offset)
			s.cut = func(from, to ident.Instance) bool {
				return deaf && to == leader.id.Instance || !deaf && from == leader.id.Instance
			}
			s.run(4 * time.Second)
			if lapses := s.lapses() - leader.lapses; lapses > 0 {
				t.Errorf("deaf %v, cut after %v: %d leases of healthy members lapsed", deaf, offset, lapses)
			}
			s.exclusive()
		}
	}
}

// What a pair has assigned unseen survives a recovery that it follows later.
func TestRecoveryTakesOverWhatTheOldPairReports(t *testing.T) {
	s := settled(t, 4)
	pair := []*simProc{s.leaderProc(), s.deputyProc()}
	inPair := func(i ident.Instance) bool { return i == pair[0].id.Instance || i == pair[1].id.Instance }
	s.cut = func(from, to ident.Instance) bool { return inPair(from) != inPair(to) }
	s.logCut = inPair
	s.run(25 * time.Second)
	assigned := pair[0].node.assignments()
	s.cut, s.logCut = nil, nil
	s.runUntil(10*time.Second, func() bool { return pair[0].node.leader == nil && s.leaderProc().node.leader.gate.open })
	now := s.leaderProc().node.assignments()
	for i, g := range assigned {
		if now[i].Owner != g.Owner || !g.Token.Less(now[i].Token) {
			t.Errorf("%v has become %v", g, now[i])
		}
	}
	s.exclusive()
}

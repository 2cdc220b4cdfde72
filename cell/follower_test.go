package cell

import (
	"strings"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// lastRenew returns the newest Renew that the member sent.
func lastRenew(t *testing.T, p *simProc) sentRequest {
	t.Helper()
	f := &p.node.follower
	return f.renewals[f.nextRequest%renewHistory]
}

// A lease extends the grants only if it carries their version and answers a Renew
// that was sent.
func TestLeaseExtendsOnlyTheGrantsThatItNumbers(t *testing.T) {
	s := stableCell(t, 4)
	p := s.plainProc()
	f := &p.node.follower
	s.drop = func(_, to ident.Instance, _ Message) bool { return to == p.id.Instance }
	s.run(700 * time.Millisecond)
	before := f.expires
	lease := Lease{Term: f.term, Request: lastRenew(t, p).request, DurationMicros: 2_000_000, Version: f.version + 1}
	s.step(p, Received{From: f.leader, Message: Message{Lease: &lease}})
	if f.expires != before {
		t.Error("a lease for another version of the grants was accepted")
	}
	lease.Version = f.version
	lease.Request += 1000
	s.step(p, Received{From: f.leader, Message: Message{Lease: &lease}})
	if f.expires != before {
		t.Error("a lease for a Renew that was not sent was accepted")
	}
	lease.Request -= 1000
	s.step(p, Received{From: f.leader, Message: Message{Lease: &lease}})
	if f.expires <= before {
		t.Error("the valid lease was not accepted")
	}
}

func TestGrantsForAnotherProcessAreIgnored(t *testing.T) {
	s := stableCell(t, 4)
	p := s.plainProc()
	f := &p.node.follower
	lease := Lease{Term: f.term, Version: f.version + 1, Flags: leaseGrants, To: p.id.Incarnation - 1}
	s.step(p, Received{From: f.leader, Message: Message{Lease: &lease}})
	if len(f.grants) == 0 {
		t.Error("grants for an older incarnation were accepted")
	}
	older := f.grants[0]
	older.Owner.Incarnation--
	lease.To = p.id.Incarnation
	lease.Grants = []Grant{older}
	s.step(p, Received{From: f.leader, Message: Message{Lease: &lease}})
	if f.version == lease.Version {
		t.Error("a grant owned by an older incarnation was accepted")
	}
}

// A Release for a part of a held range must not be confirmed, because the owner still
// admits requests in that part.
func TestReleaseOfARangeHeldInOtherBoundsIsNotConfirmed(t *testing.T) {
	s := stableCell(t, 4)
	p := s.plainProc()
	part := p.held[0].Grant
	part.Range.Last--
	sent := len(s.sent)
	s.step(p, Received{From: p.node.follower.leader, Message: Message{Release: &Release{Term: p.node.follower.term, Grant: part}}})
	if len(s.sent) != sent {
		t.Error("the release of a part of a held range was confirmed")
	}
}

// LastTail must be the start of a read: a record appended while a slow read is in
// progress may be missing from its result.
func TestSlowReadCountsFromItsStart(t *testing.T) {
	s := stableCell(t, 3)
	s.logDown = true
	s.run(10 * time.Second)
	p := s.leaderProc()
	started := s.now.Add(-4 * time.Second)
	next := platformlog.Offset(len(s.records) + 1)
	s.step(p, LogRead{Started: started, From: next, Batch: platformlog.Batch{Earliest: 1, Next: next}})
	if got := p.node.View(s.now).LastTail; got != started {
		t.Errorf("a read that started at %v counts as of %v, want its start", started, got)
	}
}

// A deputy's claim is appended, but the deputy cannot read the log. The deputy
// named by that claim claims in turn, and its LeaderNotice reaches the first deputy
// before the first deputy reads its own claim. The first deputy must not become
// leader then.
func TestOwnClaimOfAnOlderTermThanTheOneFollowed(t *testing.T) {
	s := stableCell(t, 4)
	deputy, next := s.deputyProc(), s.plainProc()
	s.logCut = func(node ident.Instance) bool { return node == deputy.id.Instance }
	first := s.appendRecord(Record{Claim: &Claim{
		Nonce: 77, ExpectedVersion: deputy.node.ledger.state.RolesVersion, Kind: ClaimTakeover,
		Candidate: deputy.id, Deputy: next.id, State: deputy.node.deputyState(),
	}})
	s.appendRecord(Record{Claim: &Claim{
		Nonce: 78, ExpectedVersion: uint64(first), Kind: ClaimTakeover, Candidate: next.id,
		State: State{Term: uint64(first), Grants: deputy.node.deputyState().Grants},
	}})
	s.runUntil(2*time.Second, func() bool { return deputy.node.follower.leader == next.id })
	s.logCut = nil
	s.run(10 * time.Second)
	if f := &deputy.node.follower; f.leader != next.id || len(deputy.held) == 0 {
		t.Errorf("follows %v and holds %d grants", f.leader, len(deputy.held))
	}
	s.requireSingleHolder()
}

// The lease of a leaving process expires while requests are in flight. The planned
// stop must wait for those requests.
func TestLeavingProcessWaitsForRequestsOfExpiredRanges(t *testing.T) {
	s := stableCell(t, 4)
	p := s.plainProc()
	s.cut = func(from, to ident.Instance) bool { return from == p.id.Instance || to == p.id.Instance }
	s.run(time.Second)
	s.step(p, Leave{})
	s.run(time.Second)
	p.node.cfg.DrainLimit = time.Minute
	s.cut = nil
	s.runUntil(10*time.Second, func() bool { return p.left })
	trace := s.trace.String()
	expired := strings.LastIndex(trace, string(p.id.Instance)+": holds nothing")
	if released := strings.LastIndex(trace, string(p.id.Instance)+": releases"); released < expired {
		t.Errorf("left without waiting for requests in flight of expired ranges\n%s", s.traceTail())
	}
	s.requireSingleHolder()
}

// A range is split, the message to its owner is lost, and the deputy takes over.
// The owner's lease must not expire.
func TestSplitUnknownToItsOwnerSurvivesATakeover(t *testing.T) {
	s := stableCell(t, 4)
	leader, owner := s.leaderProc(), s.plainProc()
	s.drop = func(_, to ident.Instance, m Message) bool {
		return to == owner.id.Instance && m.Lease != nil && m.Lease.Flags&leaseGrants != 0
	}
	old := owner.held[0].Grant
	middle := old.Range.First + 1000
	leader.node.applySplitsAndMerges(BalancePlan{Splits: []BalanceSplit{{Range: old.Range, Parts: cutAround(RangeLoad{Range: old.Range, HotPoint: middle})}}})
	s.run(300 * time.Millisecond)
	s.kill(leader)
	s.drop = nil
	s.runUntil(failoverLimit, s.covered)
	if owner.expirations > 0 || s.leaderProc().node.leader.table.entry(old.Range) != nil {
		t.Errorf("%d expired leases of the owner of a split range\n%s", owner.expirations, s.traceTail())
	}
	s.requireSingleHolder()
}

// The leader can send messages but receives none, or receives messages but can send
// none. It must be replaced without an expired lease of another member.
func TestLeaderBehindAOneWayLinkIsReplacedWithoutLeaseExpiry(t *testing.T) {
	for _, cutInbound := range []bool{true, false} {
		for offset := time.Duration(0); offset < 700*time.Millisecond; offset += 50 * time.Millisecond {
			s := stableCell(t, 4)
			leader := s.leaderProc()
			s.run(offset)
			s.cut = func(from, to ident.Instance) bool {
				return cutInbound && to == leader.id.Instance || !cutInbound && from == leader.id.Instance
			}
			s.run(4 * time.Second)
			if expired := s.expirations() - leader.expirations; expired > 0 {
				t.Errorf("inbound %v, cut after %v: %d leases of healthy members expired", cutInbound, offset, expired)
			}
			s.requireSingleHolder()
		}
	}
}

// Leader and deputy assign ranges while they are cut off from the log and from the
// other members, which recover. When the pair follows the new leader, that leader
// must keep the reported assignments and give them newer tokens.
func TestRecoveryKeepsAssignmentsReportedByFormerPair(t *testing.T) {
	s := stableCell(t, 4)
	pair := []*simProc{s.leaderProc(), s.deputyProc()}
	inPair := func(i ident.Instance) bool { return i == pair[0].id.Instance || i == pair[1].id.Instance }
	s.cut = func(from, to ident.Instance) bool { return inPair(from) != inPair(to) }
	s.logCut = inPair
	s.run(25 * time.Second)
	assigned := pair[0].node.assignments()
	s.cut, s.logCut = nil, nil
	s.runUntil(10*time.Second, func() bool { return pair[0].node.leader == nil && s.leaderProc().node.leader.activation.active })
	now := s.leaderProc().node.assignments()
	for i, g := range assigned {
		if now[i].Owner != g.Owner || !g.Token.Less(now[i].Token) {
			t.Errorf("%v was replaced by %v", g, now[i])
		}
	}
	s.requireSingleHolder()
}

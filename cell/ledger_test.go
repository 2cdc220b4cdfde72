package cell

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/platformlog"
)

// stream applies records to a ledger at ascending offsets.
type stream struct {
	t      *testing.T
	ledger *Ledger
	offset uint64
}

func newStream(t *testing.T) *stream {
	return &stream{t: t, ledger: NewLedger("reports", keyspace.Full())}
}

func (s *stream) add(r Record) ApplyResult {
	s.offset++
	return s.ledger.Apply(platformlog.Offset(s.offset), int64(s.offset), r.AppendTo(nil))
}

func (s *stream) requireAccepted(r Record) uint64 {
	s.t.Helper()
	if v := s.add(r); !v.Valid {
		s.t.Fatalf("%v is rejected: %s", v.Kind, v.Reason)
	}
	return s.offset
}

func (s *stream) requireRejected(r Record, reason string) {
	s.t.Helper()
	term, version := s.ledger.Term(), s.ledger.state.RolesVersion
	v := s.add(r)
	if v.Valid || !strings.Contains(v.Reason, reason) {
		s.t.Fatalf("%v: valid %v, reason %q, want rejected because %q", v.Kind, v.Valid, v.Reason, reason)
	}
	if len(v.Audit) != 1 || v.Audit[0].Kind != AuditRejected {
		s.t.Fatalf("a rejected record has the audit entries %v", v.Audit)
	}
	if s.ledger.Term() != term || s.ledger.state.RolesVersion != version {
		s.t.Fatal("a rejected record changed a role")
	}
}

func testNode(name string) ident.Node {
	return ident.Node{Instance: ident.Instance(name), Incarnation: 5}
}

func announce(node ident.Node) Record {
	return Record{Announce: &Announce{Member: Member{Node: node, Zone: "z1", Addr: "10.0.0.1:1"}}}
}

func (s *stream) state() State {
	return State{Term: s.ledger.state.Term, Seq: s.ledger.state.Seq, Grants: s.ledger.state.Grants}
}

func (s *stream) claim(kind ClaimKind, version uint64, candidate, deputy string) Record {
	c := &Claim{Kind: kind, ExpectedVersion: version, Candidate: testNode(candidate), State: s.state(), Active: true}
	if deputy != "" {
		c.Deputy = testNode(deputy)
	}
	if kind == ClaimFirst {
		c.State = State{Grants: divideSpan(keyspace.Full(), 4)}
	}
	return Record{Claim: c}
}

func (s *stream) deputy(version uint64, leader, deputy string) Record {
	return Record{Deputy: &DeputyChange{ExpectedVersion: version, Leader: testNode(leader), Deputy: testNode(deputy), State: s.state(), Active: true}}
}

func TestAnnounceOfAnOlderIncarnationIsRejected(t *testing.T) {
	s := newStream(t)
	s.requireAccepted(announce(testNode("a")))
	s.requireRejected(announce(testNode("a")), "is already announced")
	s.requireRejected(announce(ident.Node{Instance: "a", Incarnation: 4}), "is already announced")
	s.requireAccepted(announce(ident.Node{Instance: "a", Incarnation: 6}))
	for i := 1; i < MaxMembers; i++ {
		s.requireAccepted(announce(testNode("m" + string(rune('a'+i)))))
	}
	s.requireRejected(announce(testNode("z")), "full")
}

func TestFirstClaimInLogOrderWins(t *testing.T) {
	s := newStream(t)
	term := s.requireAccepted(s.claim(ClaimFirst, 0, "a", "b"))
	s.requireRejected(s.claim(ClaimFirst, 0, "b", "a"), "expected version 0 is not the current one")
	s.requireRejected(s.claim(ClaimFirst, term, "b", "a"), "already contains a claim")
	if s.ledger.Leader() != testNode("a") || s.ledger.Term() != term {
		t.Errorf("leader %v of term %d", s.ledger.Leader(), s.ledger.Term())
	}
}

func TestLateRoleRecordsAreRejectedByExpectedVersion(t *testing.T) {
	s := newStream(t)
	first := s.requireAccepted(s.claim(ClaimFirst, 0, "a", "b"))
	late := s.claim(ClaimTakeover, first, "b", "c")
	change := s.requireAccepted(s.deputy(first, "a", "c"))
	s.requireRejected(late, "is not the current one")
	s.requireRejected(s.deputy(first, "a", "b"), "is not the current one")
	s.requireRejected(s.claim(ClaimTakeover, change, "b", "c"), "not the deputy")
	s.requireRejected(s.deputy(change, "b", "d"), "is not the leader of the term")
	second := s.requireAccepted(s.claim(ClaimTakeover, change, "c", "d"))
	s.requireRejected(s.claim(ClaimTakeover, change, "c", "d"), "is not the current one")
	if s.ledger.Term() != second {
		t.Errorf("term %d, want %d", s.ledger.Term(), second)
	}
}

func TestAssignIsRejectedOutsideItsTermAndSequence(t *testing.T) {
	s := newStream(t)
	term := s.requireAccepted(s.claim(ClaimFirst, 0, "a", "b"))
	g := s.ledger.Assignments()[1]
	g.Owner = testNode("a")
	g.Token = Token{Term: term, Seq: 1}
	assign := func(term, from, to uint64) Record {
		return Record{Assign: &Assign{Term: term, From: from, To: to, Changed: []Grant{g}}}
	}
	s.requireRejected(assign(term+1, 0, 1), "its term")
	s.requireRejected(assign(term, 1, 2), "builds on change 1")
	s.requireAccepted(assign(term, 0, 1))
	s.requireRejected(assign(term, 0, 2), "builds on change 0")
	if got := s.ledger.Assignments()[1]; got != g {
		t.Errorf("assignment %v, want %v", got, g)
	}
	g.Range.Last--
	s.requireRejected(assign(term, 1, 2), "do not cover")
	s.requireAccepted(s.claim(ClaimTakeover, term, "b", "a"))
	s.requireRejected(assign(term, 1, 2), "its term")
}

// A role record carries the assignments at the time that it was sent. If it is
// appended after later assignments, it must not revert them.
func TestOlderStateOfARoleRecordDoesNotRevertAssignments(t *testing.T) {
	s := newStream(t)
	term := s.requireAccepted(s.claim(ClaimFirst, 0, "a", "b"))
	change := s.deputy(term, "a", "c")
	takeover := s.claim(ClaimTakeover, term, "b", "c")
	g := s.ledger.Assignments()[0]
	g.Owner = testNode("a")
	g.Token = Token{Term: term, Seq: 1}
	s.requireAccepted(Record{Assign: &Assign{Term: term, From: 0, To: 1, Changed: []Grant{g}}})
	s.requireAccepted(change)
	if got := s.ledger.Assignments()[0]; got != g {
		t.Errorf("the deputy record reverted %v to %v", g, got)
	}
	takeover.Claim.ExpectedVersion = s.ledger.state.RolesVersion
	takeover.Claim.Candidate = testNode("c")
	takeover.Claim.Deputy = testNode("d")
	s.requireAccepted(takeover)
	if got := s.ledger.Assignments()[0]; got != g {
		t.Errorf("the claim reverted %v to %v", g, got)
	}
}

func TestRecoveryNeedsAnIntentFreeOfObjection(t *testing.T) {
	s := newStream(t)
	s.requireAccepted(announce(testNode("c")))
	term := s.requireAccepted(s.claim(ClaimFirst, 0, "a", "b"))
	intent := Record{Intent: &Intent{ExpectedVersion: term, Candidate: testNode("c")}}
	s.requireRejected(s.claim(ClaimRecovery, term, "c", "d"), "no intent")
	s.requireRejected(Record{Intent: &Intent{ExpectedVersion: term, Candidate: testNode("x")}}, "not announced")
	s.requireAccepted(intent)
	s.requireRejected(Record{Objection: &Objection{ExpectedVersion: term, Sender: testNode("c")}}, "neither leader nor deputy")
	s.requireAccepted(Record{Objection: &Objection{ExpectedVersion: term, Sender: testNode("b")}})
	s.requireRejected(s.claim(ClaimRecovery, term, "c", "d"), "no intent")
	s.requireAccepted(intent)
	s.requireAccepted(s.claim(ClaimRecovery, term, "c", "d"))
	want := []Pair{{Leader: testNode("a"), Deputy: testNode("b"), Term: 2}}
	if !reflect.DeepEqual(s.ledger.state.FormerPairs, want) {
		t.Errorf("former pairs %v, want %v", s.ledger.state.FormerPairs, want)
	}
}

// Two recoveries in a row: the second must still wait for the first pair.
func TestFormerPairsAccumulateUntilALeaderIsActive(t *testing.T) {
	s := newStream(t)
	s.requireAccepted(announce(testNode("c")))
	s.requireAccepted(announce(testNode("e")))
	term := s.requireAccepted(s.claim(ClaimFirst, 0, "a", "b"))
	s.requireAccepted(Record{Intent: &Intent{ExpectedVersion: term, Candidate: testNode("c")}})
	term = s.requireAccepted(s.claim(ClaimRecovery, term, "c", "d"))
	s.requireAccepted(Record{Intent: &Intent{ExpectedVersion: term, Candidate: testNode("e")}})
	term = s.requireAccepted(s.claim(ClaimRecovery, term, "e", "f"))
	if len(s.ledger.state.FormerPairs) != 2 {
		t.Fatalf("former pairs %v, want both older pairs", s.ledger.state.FormerPairs)
	}
	s.requireAccepted(Record{Assign: &Assign{Term: term}})
	if len(s.ledger.state.FormerPairs) != 0 {
		t.Errorf("former pairs %v after the leader has become active", s.ledger.state.FormerPairs)
	}
}

func TestForeignAndNewerRecords(t *testing.T) {
	s := newStream(t)
	if v := s.ledger.Apply(1, 1, []byte("not a record")); v.Valid || v.Err != nil {
		t.Errorf("foreign data: %+v", v)
	}
	s.offset = 1
	s.requireAccepted(announce(testNode("a")))
	newer := announce(testNode("b")).AppendTo(nil)
	newer[1] = Version + 1
	v := s.ledger.Apply(3, 3, newer)
	var want *VersionError
	if v.Valid || !errors.As(v.Err, &want) || s.ledger.AppliedOffset() != 2 {
		t.Errorf("newer record: %+v, covered %d", v, s.ledger.AppliedOffset())
	}
	if v := s.ledger.Apply(4, 4, announce(testNode("c")).AppendTo(nil)); v.Valid {
		t.Error("a record after one of a newer version was applied")
	}
}

func TestSnapshotReplacesTheRecordsThatItCovers(t *testing.T) {
	s := newStream(t)
	s.requireAccepted(announce(testNode("a")))
	term := s.requireAccepted(s.claim(ClaimFirst, 0, "a", "b"))
	covered := s.offset
	snapshot := Record{Snapshot: s.ledger.snapshot(9)}
	tail := []Record{announce(testNode("b")), s.deputy(term, "a", "c"), snapshot, announce(testNode("d"))}
	decoded, err := DecodeRecord(snapshot.AppendTo(nil))
	if err != nil {
		t.Fatal(err)
	}
	late := &stream{t: t, ledger: NewLedgerFromSnapshot(NewLedger("reports", keyspace.Full()), decoded.Snapshot, 1), offset: covered}
	for _, r := range tail {
		s.requireAccepted(r)
		late.requireAccepted(r)
	}
	a, b := Record{Snapshot: s.ledger.snapshot(1)}, Record{Snapshot: late.ledger.snapshot(1)}
	if !reflect.DeepEqual(a.AppendTo(nil), b.AppendTo(nil)) {
		t.Errorf("readers differ:\n%+v\n%+v", a.Snapshot, b.Snapshot)
	}
}

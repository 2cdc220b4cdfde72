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

// stream folds records at ascending offsets.
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

func (s *stream) valid(r Record) uint64 {
	s.t.Helper()
	if v := s.add(r); !v.Valid {
		s.t.Fatalf("%v is void: %s", v.Kind, v.Reason)
	}
	return s.offset
}

func (s *stream) void(r Record, reason string) {
	s.t.Helper()
	term, base := s.ledger.Term(), s.ledger.state.RolesVersion
	v := s.add(r)
	if v.Valid || !strings.Contains(v.Reason, reason) {
		s.t.Fatalf("%v: valid %v, reason %q, want void because %q", v.Kind, v.Valid, v.Reason, reason)
	}
	if len(v.Audit) != 1 || v.Audit[0].Kind != AuditRejected {
		s.t.Fatalf("a void record has the audit entries %v", v.Audit)
	}
	if s.ledger.Term() != term || s.ledger.state.RolesVersion != base {
		s.t.Fatal("a void record changed a role")
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

func (s *stream) claim(kind ClaimKind, base uint64, candidate, deputy string) Record {
	c := &Claim{Kind: kind, Base: base, Candidate: testNode(candidate), State: s.state(), Active: true}
	if deputy != "" {
		c.Deputy = testNode(deputy)
	}
	if kind == ClaimFirst {
		c.State = State{Grants: divideSpan(keyspace.Full(), 4)}
	}
	return Record{Claim: c}
}

func (s *stream) deputy(base uint64, leader, deputy string) Record {
	return Record{Deputy: &DeputyChange{Base: base, Leader: testNode(leader), Deputy: testNode(deputy), State: s.state(), Active: true}}
}

func TestAnnounceOfAnOlderIncarnationIsVoid(t *testing.T) {
	s := newStream(t)
	s.valid(announce(testNode("a")))
	s.void(announce(testNode("a")), "announced already")
	s.void(announce(ident.Node{Instance: "a", Incarnation: 4}), "announced already")
	s.valid(announce(ident.Node{Instance: "a", Incarnation: 6}))
	for i := 1; i < MaxMembers; i++ {
		s.valid(announce(testNode("m" + string(rune('a'+i)))))
	}
	s.void(announce(testNode("z")), "full")
}

func TestFirstClaimInLogOrderWins(t *testing.T) {
	s := newStream(t)
	term := s.valid(s.claim(ClaimFirst, 0, "a", "b"))
	s.void(s.claim(ClaimFirst, 0, "b", "a"), "base 0 is not the present one")
	s.void(s.claim(ClaimFirst, term, "b", "a"), "holds a claim already")
	if s.ledger.Leader() != testNode("a") || s.ledger.Term() != term {
		t.Errorf("leader %v of term %d", s.ledger.Leader(), s.ledger.Term())
	}
}

func TestLateRoleRecordsAreVoidByTheirBase(t *testing.T) {
	s := newStream(t)
	first := s.valid(s.claim(ClaimFirst, 0, "a", "b"))
	late := s.claim(ClaimTakeover, first, "b", "c")
	change := s.valid(s.deputy(first, "a", "c"))
	s.void(late, "is not the present one")
	s.void(s.deputy(first, "a", "b"), "is not the present one")
	s.void(s.claim(ClaimTakeover, change, "b", "c"), "not the deputy")
	s.void(s.deputy(change, "b", "d"), "does not lead")
	second := s.valid(s.claim(ClaimTakeover, change, "c", "d"))
	s.void(s.claim(ClaimTakeover, change, "c", "d"), "is not the present one")
	if s.ledger.Term() != second {
		t.Errorf("term %d, want %d", s.ledger.Term(), second)
	}
}

func TestAssignIsVoidOutsideItsTermAndSequence(t *testing.T) {
	s := newStream(t)
	term := s.valid(s.claim(ClaimFirst, 0, "a", "b"))
	g := s.ledger.Assignments()[1]
	g.Owner = testNode("a")
	g.Token = Token{Term: term, Seq: 1}
	assign := func(term, from, to uint64) Record {
		return Record{Assign: &Assign{Term: term, From: from, To: to, Changed: []Grant{g}}}
	}
	s.void(assign(term+1, 0, 1), "its term")
	s.void(assign(term, 1, 2), "follows change 1")
	s.valid(assign(term, 0, 1))
	s.void(assign(term, 0, 2), "follows change 0")
	if got := s.ledger.Assignments()[1]; got != g {
		t.Errorf("assignment %v, want %v", got, g)
	}
	g.Range.Last--
	s.void(assign(term, 1, 2), "do not cover")
	s.valid(s.claim(ClaimTakeover, term, "b", "a"))
	s.void(assign(term, 1, 2), "its term")
}

// A role record that was sent before later assignments must not undo them.
func TestOlderStateOfARoleRecordDoesNotRevertAssignments(t *testing.T) {
	s := newStream(t)
	term := s.valid(s.claim(ClaimFirst, 0, "a", "b"))
	change := s.deputy(term, "a", "c")
	takeover := s.claim(ClaimTakeover, term, "b", "c")
	g := s.ledger.Assignments()[0]
	g.Owner = testNode("a")
	g.Token = Token{Term: term, Seq: 1}
	s.valid(Record{Assign: &Assign{Term: term, From: 0, To: 1, Changed: []Grant{g}}})
	s.valid(change)
	if got := s.ledger.Assignments()[0]; got != g {
		t.Errorf("the deputy record reverted %v to %v", g, got)
	}
	takeover.Claim.Base = s.ledger.state.RolesVersion
	takeover.Claim.Candidate = testNode("c")
	takeover.Claim.Deputy = testNode("d")
	s.valid(takeover)
	if got := s.ledger.Assignments()[0]; got != g {
		t.Errorf("the claim reverted %v to %v", g, got)
	}
}

func TestRecoveryNeedsAnIntentFreeOfObjection(t *testing.T) {
	s := newStream(t)
	s.valid(announce(testNode("c")))
	term := s.valid(s.claim(ClaimFirst, 0, "a", "b"))
	intent := Record{Intent: &Intent{Base: term, Candidate: testNode("c")}}
	s.void(s.claim(ClaimRecovery, term, "c", "d"), "no intent")
	s.void(Record{Intent: &Intent{Base: term, Candidate: testNode("x")}}, "not announced")
	s.valid(intent)
	s.void(Record{Objection: &Objection{Base: term, Sender: testNode("c")}}, "neither leader nor deputy")
	s.valid(Record{Objection: &Objection{Base: term, Sender: testNode("b")}})
	s.void(s.claim(ClaimRecovery, term, "c", "d"), "no intent")
	s.valid(intent)
	s.valid(s.claim(ClaimRecovery, term, "c", "d"))
	want := []Pair{{Leader: testNode("a"), Deputy: testNode("b"), Term: 2}}
	if !reflect.DeepEqual(s.ledger.state.Pending, want) {
		t.Errorf("pending %v, want %v", s.ledger.state.Pending, want)
	}
}

// Two recoveries in a row: the second must still wait for the first pair.
func TestPendingPairsAddUpUntilALeaderWorks(t *testing.T) {
	s := newStream(t)
	s.valid(announce(testNode("c")))
	s.valid(announce(testNode("e")))
	term := s.valid(s.claim(ClaimFirst, 0, "a", "b"))
	s.valid(Record{Intent: &Intent{Base: term, Candidate: testNode("c")}})
	term = s.valid(s.claim(ClaimRecovery, term, "c", "d"))
	s.valid(Record{Intent: &Intent{Base: term, Candidate: testNode("e")}})
	term = s.valid(s.claim(ClaimRecovery, term, "e", "f"))
	if len(s.ledger.state.Pending) != 2 {
		t.Fatalf("pending %v, want both older pairs", s.ledger.state.Pending)
	}
	s.valid(Record{Assign: &Assign{Term: term}})
	if len(s.ledger.state.Pending) != 0 {
		t.Errorf("pending %v after the leader has taken up work", s.ledger.state.Pending)
	}
}

func TestForeignAndNewerRecords(t *testing.T) {
	s := newStream(t)
	if v := s.ledger.Apply(1, 1, []byte("not a record")); v.Valid || v.Err != nil {
		t.Errorf("foreign bytes: %+v", v)
	}
	s.offset = 1
	s.valid(announce(testNode("a")))
	newer := announce(testNode("b")).AppendTo(nil)
	newer[1] = Version + 1
	v := s.ledger.Apply(3, 3, newer)
	var want *VersionError
	if v.Valid || !errors.As(v.Err, &want) || s.ledger.AppliedOffset() != 2 {
		t.Errorf("newer record: %+v, covered %d", v, s.ledger.AppliedOffset())
	}
	if v := s.ledger.Apply(4, 4, announce(testNode("c")).AppendTo(nil)); v.Valid {
		t.Error("a record after one that is not understood was applied")
	}
}

func TestSnapshotReplacesTheRecordsThatItCovers(t *testing.T) {
	s := newStream(t)
	s.valid(announce(testNode("a")))
	term := s.valid(s.claim(ClaimFirst, 0, "a", "b"))
	covered := s.offset
	snapshot := Record{Snapshot: s.ledger.snapshot(9)}
	tail := []Record{announce(testNode("b")), s.deputy(term, "a", "c"), snapshot, announce(testNode("d"))}
	decoded, err := DecodeRecord(snapshot.AppendTo(nil))
	if err != nil {
		t.Fatal(err)
	}
	late := &stream{t: t, ledger: NewLedgerFromSnapshot(NewLedger("reports", keyspace.Full()), decoded.Snapshot, 1), offset: covered}
	for _, r := range tail {
		s.valid(r)
		late.valid(r)
	}
	a, b := Record{Snapshot: s.ledger.snapshot(1)}, Record{Snapshot: late.ledger.snapshot(1)}
	if !reflect.DeepEqual(a.AppendTo(nil), b.AppendTo(nil)) {
		t.Errorf("readers differ:\n%+v\n%+v", a.Snapshot, b.Snapshot)
	}
}

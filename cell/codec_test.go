package cell

import (
	"errors"
	"reflect"
	"testing"

	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
)

func sampleGrant() Grant {
	return Grant{Range: keyspace.Range{First: 1, Last: 9}, Owner: ident.Node{Instance: "t1", Incarnation: 1_700_000_000_000_000_000}, Token: Token{Term: 7, Seq: 3}}
}

func sampleMessages() []Message {
	g := sampleGrant()
	return []Message{
		{Renew: &Renew{Term: 7, Request: 5, Holds: []Grant{g}, Load: []RangeLoad{{Range: g.Range, Rate: 2.5}}}},
		{Lease: &Lease{Term: 7, Request: 5, Micros: 2_000_000, Version: 3, Flags: leaseGrants, To: 8, Grants: []Grant{g}}},
		{Lead: &Lead{Term: 7, Seq: 1}},
		{Heartbeat: &Heartbeat{Term: 7, Request: 1, Revision: 2, Flags: heartbeatState, Seq: 3, State: []Grant{g}, Next: g.Owner}},
		{Pledge: &Pledge{Term: 7, Request: 1, Revision: 2, Seq: 3}},
		{Handover: &Handover{Term: 7}},
		{Prepare: &Prepare{Term: 7, Grant: g}},
		{PrepareDone: &PrepareDone{Term: 7, Grant: g}},
		{Release: &Release{Term: 7, Grant: g}},
		{ReleaseDone: &ReleaseDone{Term: 7, Grant: g, Resumed: true}},
	}
}

func sampleRecords() []Record {
	g := sampleGrant()
	state := State{Term: 7, Seq: 2, Grants: []Grant{g}}
	member := Member{Node: g.Owner, Zone: "z1", Addr: "10.0.0.1:7000", Capacity: 20, Version: Version}
	return []Record{
		{Announce: &Announce{Nonce: 1, Member: member}},
		{Claim: &Claim{Nonce: 2, Base: 3, Kind: ClaimTakeover, Candidate: g.Owner, Active: true, State: state}},
		{Deputy: &DeputyChange{Nonce: 3, Base: 3, Leader: g.Owner, State: state}},
		{Assign: &Assign{Nonce: 4, Term: 7, From: 1, To: 2, Changed: []Grant{g}, Gone: []ident.Node{g.Owner}}},
		{Intent: &Intent{Nonce: 5, Base: 3, Candidate: g.Owner}},
		{Objection: &Objection{Nonce: 6, Base: 3, Sender: g.Owner}},
		{Loss: &Loss{Nonce: 7, Node: g.Owner, Operator: "anna"}},
		{Snapshot: &Snapshot{Nonce: 8, Covered: 12, State: LedgerState{Term: 7, RolesVersion: 7, Leader: g.Owner, Grants: state.Grants, Members: []MemberState{{Member: member, Offset: 1}}, Pending: []Pair{{Leader: g.Owner}}}}},
	}
}

func TestMessagesKeepTheirContentOnTheWire(t *testing.T) {
	for _, m := range sampleMessages() {
		b := m.AppendTo(nil)
		got, err := DecodeMessage(b)
		if err != nil {
			t.Fatalf("kind %d: %v", m.Kind(), err)
		}
		if got.Kind() != m.Kind() || !reflect.DeepEqual(got.AppendTo(nil), b) {
			t.Errorf("kind %d changed on the wire", m.Kind())
		}
		for i := range b {
			if _, err := DecodeMessage(b[:i]); err == nil {
				t.Fatalf("kind %d cut to %d bytes is accepted", m.Kind(), i)
			}
		}
	}
}

func TestRecordsKeepTheirContentInTheStream(t *testing.T) {
	for i, r := range sampleRecords() {
		b := r.AppendTo(nil)
		got, err := DecodeRecord(b)
		if err != nil {
			t.Fatalf("%v: %v", r.Kind(), err)
		}
		if got.Kind() != r.Kind() || got.Nonce() != uint64(i+1) || !reflect.DeepEqual(got.AppendTo(nil), b) {
			t.Errorf("%v changed in the stream", r.Kind())
		}
		if _, err := DecodeRecord(append(b, 0)); err == nil {
			t.Errorf("%v with a trailing byte is accepted", r.Kind())
		}
	}
}

func TestNewerVersionsAreTypedErrors(t *testing.T) {
	m := sampleMessages()[0].AppendTo(nil)
	m[0] = Version + 1
	var newer *VersionError
	if _, err := DecodeMessage(m); !errors.As(err, &newer) {
		t.Errorf("message: got %v", err)
	}
	r := sampleRecords()[0].AppendTo(nil)
	r[1] = Version + 1
	if _, err := DecodeRecord(r); !errors.As(err, &newer) {
		t.Errorf("record: got %v", err)
	}
}

func TestOversizeIsRefused(t *testing.T) {
	var invalid *DecodeError
	if _, err := DecodeMessage(make([]byte, MaxMessageSize+1)); !errors.As(err, &invalid) {
		t.Errorf("message: got %v", err)
	}
	if _, err := DecodeRecord(make([]byte, MaxRecordSize+1)); !errors.As(err, &invalid) {
		t.Errorf("record: got %v", err)
	}
	huge := []byte{Version, byte(KindRenew), 0x97, 1, 1, 1, 1, 1, 0xdd, 0xff, 0xff, 0xff, 0xff}
	if _, err := DecodeMessage(huge); !errors.As(err, &invalid) {
		t.Errorf("announced length of 4 billion grants: got %v", err)
	}
}

// A renewal at rest and its answer stay within 80 bytes in all.
func TestRenewalAtRestIsSmall(t *testing.T) {
	const limit = 80
	renew := Message{Renew: &Renew{Term: 1 << 30, Request: 1 << 31, Version: 1 << 20}}
	lease := Message{Lease: &Lease{Term: 1 << 30, Request: 1 << 31, Micros: 2_000_000, Version: 1 << 20}}
	size := len(renew.AppendTo(nil)) + len(lease.AppendTo(nil))
	t.Logf("renewal at rest: %d bytes in all", size)
	if size > limit {
		t.Errorf("a renewal takes %d bytes, want at most %d", size, limit)
	}
}

func FuzzDecodeMessage(f *testing.F) {
	for _, m := range sampleMessages() {
		f.Add(m.AppendTo(nil))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeMessage(b)
		if err != nil {
			return
		}
		if _, err := DecodeMessage(m.AppendTo(nil)); err != nil {
			t.Fatalf("what was decoded cannot be decoded again: %v", err)
		}
	})
}

func FuzzDecodeRecord(f *testing.F) {
	for _, r := range sampleRecords() {
		f.Add(r.AppendTo(nil))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := DecodeRecord(b)
		if err != nil {
			return
		}
		if _, err := DecodeRecord(r.AppendTo(nil)); err != nil {
			t.Fatalf("what was decoded cannot be decoded again: %v", err)
		}
	})
}

func FuzzLedger(f *testing.F) {
	for _, r := range sampleRecords() {
		f.Add(r.AppendTo(nil))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		l := NewLedger("reports", keyspace.Full())
		l.Apply(1, 1, b)
		l.Apply(2, 2, b)
		if l.Term() != 0 && !covers(l.Assignments(), keyspace.Full()) {
			t.Fatal("the assignments do not cover the span")
		}
	})
}

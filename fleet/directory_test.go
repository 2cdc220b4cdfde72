package fleet

import (
	"math"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

func member(incarnation, revision uint64) Member {
	return Member{Instance: "a", Addr: "127.0.0.1:1", Incarnation: incarnation, Revision: revision}
}

// Records and statuses that arrive out of order must not replace newer ones.
func TestOlderRecordsChangeNothing(t *testing.T) {
	d := NewDirectory()
	now := clock.Time(time.Hour)
	m := member(2, 5)
	d.ApplyMember(&m, now)
	for _, old := range []Member{member(1, 9), member(2, 4), member(2, 5)} {
		if d.ApplyMember(&old, now) {
			t.Errorf("record %d.%d counts as new after 2.5", old.Incarnation, old.Revision)
		}
	}
	if p, _ := d.ApplyStatus(&Status{Seq: 7, Member: member(1, 9)}, now); p != nil {
		t.Error("a status of an earlier process was accepted")
	}
	if p, _ := d.ApplyStatus(&Status{Seq: 7, Member: m}, now); p == nil {
		t.Fatal("the first status was not accepted")
	}
	if p, _ := d.ApplyStatus(&Status{Seq: 6, Member: m}, now); p != nil {
		t.Error("a status with a lower Seq than the last one was accepted")
	}
	next := member(3, 1)
	if p, changed := d.ApplyStatus(&Status{Seq: 1, Member: next}, now); p == nil || !changed {
		t.Error("the first status of the next process was not accepted")
	}
}

// A member must decode to what was encoded, and other data must be rejected.
func TestRecordsAreReadBack(t *testing.T) {
	m := Member{Instance: "a", Addr: "127.0.0.1:1", Incarnation: 3, Revision: 4, Zone: "z", JoinedMS: 5, Service: "s", TargetID: "t", TargetStartMS: 6, State: TargetLeaving, Slots: 7}
	got, err := DecodeMember(m.Encode())
	m.Schema = memberSchema
	if err != nil || *got != m {
		t.Errorf("got %+v, %v", got, err)
	}
	for name, b := range map[string][]byte{"empty": nil, "torn": m.Encode()[:9], "text": []byte("hello")} {
		if _, err := DecodeMember(b); err == nil {
			t.Errorf("%s was decoded as a record", name)
		}
	}
}

func FuzzDecode(f *testing.F) {
	m := member(1, 1)
	f.Add(m.Encode())
	f.Add((&Status{Seq: 1, Member: m}).Encode())
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = DecodeMember(b) // must not panic
		_, _ = DecodeStatus(b)
	})
}

// A daemon that was restarted before its target's departure was stored stated that the
// target is ready, and all others sent requests to it again.
func TestDepartureIsFinalForLaterProcesses(t *testing.T) {
	d, now := NewDirectory(), clock.Now()
	departed := member(1, 2)
	departed.TargetID, departed.TargetStartMS, departed.State = "t", 5, TargetLeaving
	d.ApplyMember(&departed, now)
	p := d.Peer(ident.Instance(departed.Instance))
	for revision := range uint64(2) {
		forgot := departed
		forgot.Incarnation, forgot.Revision, forgot.State = 2, 1+revision, TargetReady
		if !d.ApplyMember(&forgot, now) || p.Member.State != TargetLeaving || !p.ForgotDeparture || p.Member.Incarnation != 2 {
			t.Errorf("after record %d of the next process: %+v", revision+1, p)
		}
	}
	reminded := departed
	reminded.Incarnation, reminded.Revision = 2, 3
	if d.ApplyMember(&reminded, now); p.ForgotDeparture || p.Member.State != TargetLeaving {
		t.Errorf("after the process was reminded: %+v", p)
	}
	started := reminded
	started.Revision, started.TargetStartMS, started.State = 4, 6, TargetReady
	if d.ApplyMember(&started, now); p.Member.State != TargetReady {
		t.Errorf("the next target is %v, want ready", p.Member.State)
	}
}

// A record of another writer with a number out of its range was applied: slots that overflow
// a sum, or an incarnation after which none can follow.
func TestRecordsWithNumbersOutOfRangeAreRejected(t *testing.T) {
	for name, change := range map[string]func(*Member){
		"10^18 slots":         func(m *Member) { m.Slots = 1e18 },
		"negative slots":      func(m *Member) { m.Slots = -1 },
		"last incarnation":    func(m *Member) { m.Incarnation = math.MaxUint64 },
		"last revision":       func(m *Member) { m.Revision = math.MaxUint64 },
		"started before 1970": func(m *Member) { m.TargetStartMS = -1 },
		"port out of range":   func(m *Member) { m.Addr = "127.0.0.1:70000" },
		"name in the address": func(m *Member) { m.Addr = "localhost:80" },
		"no instance":         func(m *Member) { m.Instance = "" },
	} {
		m := member(1, 1)
		change(&m)
		if got, err := DecodeMember(m.Encode()); err == nil {
			t.Errorf("%s: decoded as %+v", name, got)
		}
		if got, err := DecodeStatus((&Status{Seq: 1, Member: m}).Encode()); err == nil {
			t.Errorf("%s: decoded as %+v", name, got)
		}
	}
}

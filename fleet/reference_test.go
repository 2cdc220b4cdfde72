package fleet

import (
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// A status with a reference instead of a member record must update the peer with
// exactly that record, and no peer with an older or newer one.
func TestStatusesWithReferences(t *testing.T) {
	now := clock.Time(time.Hour)
	d := NewDirectory()
	m := member(2, 5)
	if p, _ := d.ApplyStatus(&Status{Seq: 1, Member: m.Reference()}, now); p != nil || len(d.Peers()) > 0 {
		t.Fatal("a status with a reference to an unknown daemon was accepted")
	}
	d.ApplyStatus(&Status{Seq: 2, Member: m}, now)
	later := now.Add(time.Second)
	if p, changed := d.ApplyStatus(&Status{Seq: 3, Member: m.Reference()}, later); p == nil || changed || p.LastSeen != later || p.Member != m {
		t.Fatalf("after a status with a reference: peer %+v, changed %t", p, changed)
	}
	for _, other := range []Member{member(2, 6), member(3, 1), member(1, 9)} {
		if p, _ := d.ApplyStatus(&Status{Seq: 9, Member: other.Reference()}, later); p != nil {
			t.Errorf("a status with a reference to %d.%d was accepted for 2.5", other.Incarnation, other.Revision)
		}
	}
}

// Statuses are most of the traffic between idle daemons, so those with a
// reference must stay small.
func TestStatusesWithReferencesAreShort(t *testing.T) {
	m := Member{
		Instance: "sidecar-muenchen-23", Incarnation: 1784734075786475400, Revision: 3, Addr: "10.128.0.123:7020", Zone: "muenchen",
		JoinedMS: 1784734075786, Service: "bapu29c", TargetID: "i-85fc222339", TargetStartMS: 1784734075786, State: TargetReady, Slots: 18,
	}
	s := Status{Seq: 400, Echo: 390, EchoIncarnation: m.Incarnation, LeaseExtension: true, Config: 7, Offset: 900, Load: Load{Running: 18, Waiting: 9, Limit: 18, LatencyRatio: 0.3, OfferedRatio: 0.8, FailureRatio: 0.01}, IntervalMS: 400}
	s.Member = m
	whole := len(s.Encode())
	s.Member = m.Reference()
	if short := len(s.Encode()); short > 130 || short > whole*2/3 {
		t.Errorf("a status with a reference takes %d bytes, with a full record %d; want at most 130 and two thirds", short, whole)
	}
}

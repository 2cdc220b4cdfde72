package fleet

import (
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// A brief status renews what is known of exactly its record, and nothing else.
func TestBriefStatuses(t *testing.T) {
	now := clock.Time(time.Hour)
	d := NewDirectory()
	m := member(2, 5)
	if p, _ := d.Hear(&Status{Seq: 1, Member: m.Brief()}, now); p != nil || len(d.Peers()) > 0 {
		t.Fatal("a brief status of an unknown daemon was taken")
	}
	d.Hear(&Status{Seq: 2, Member: m}, now)
	later := now.Add(time.Second)
	if p, news := d.Hear(&Status{Seq: 3, Member: m.Brief()}, later); p == nil || news || p.Heard != later || p.Member != m {
		t.Fatalf("a brief status leaves %+v, news %t", p, news)
	}
	for _, other := range []Member{member(2, 6), member(3, 1), member(1, 9)} {
		if p, _ := d.Hear(&Status{Seq: 9, Member: other.Brief()}, later); p != nil {
			t.Errorf("a brief status of %d.%d was taken for 2.5", other.Incarnation, other.Revision)
		}
	}
}

// Statuses are most of what daemons say to each other at rest.
func TestBriefStatusesAreShort(t *testing.T) {
	m := Member{
		Instance: "sidecar-muenchen-23", Incarnation: 1784734075786475400, Revision: 3, Addr: "10.128.0.123:7020", Zone: "muenchen",
		JoinedMS: 1784734075786, Service: "bapu29c", TargetID: "i-85fc222339", TargetBorn: 1784734075786, State: TargetReady, Slots: 18,
	}
	s := Status{Seq: 400, Echo: 390, EchoOf: m.Incarnation, Promise: true, Config: 7, Offset: 900, Load: Load{Running: 18, Waiting: 9, Limit: 18, Pace: 0.3, Offered: 0.8, Failing: 0.01}, EveryMS: 400}
	s.Member = m
	whole := len(s.Encode())
	s.Member = m.Brief()
	if brief := len(s.Encode()); brief > 130 || brief > whole*2/3 {
		t.Errorf("a brief status takes %d bytes, a whole one %d; two thirds and 130 wanted at most", brief, whole)
	}
}

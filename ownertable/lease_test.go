package ownertable

import (
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

func at(d time.Duration) clock.Time { return clock.Time(time.Hour + d) }

// TestSilentMemberEndsPromises replays a day on which one member was taken
// away: a fresh read keeps the lease, but not for long enough to read seldom.
func TestSilentMemberEndsPromises(t *testing.T) {
	a := NewAgent("a", at(0))
	others := []ident.Instance{"b", "c"}
	a.Joined(at(0))
	a.Applied(1, at(0), true)
	a.Promised("b", at(time.Second))
	a.Promised("c", at(time.Second))
	if now := at(time.Second); !a.KeptByPromises(others, now) || a.LeaseLeft(others, now) != LeaseTime {
		t.Errorf("with all promises: kept %v, left %v", a.KeptByPromises(others, now), a.LeaseLeft(others, now))
	}
	a.Promised("b", at(4*time.Second)) // c is silent
	a.Applied(1, at(4*time.Second), true)
	now := at(4 * time.Second)
	if a.LeaseLeft(others, now) != LeaseTime {
		t.Errorf("after a read %v is left, want %v", a.LeaseLeft(others, now), LeaseTime)
	}
	if a.KeptByPromises(others, now) {
		t.Error("promises of all but a silent member count as complete")
	}
	if !a.KeptByPromises([]ident.Instance{"b"}, now) {
		t.Error("the lease needs a member that was forgotten")
	}
}

// TestPromisesEnd checks that promises keep a lease for a bounded time without
// the store: members that joined meanwhile are not known.
func TestPromisesEnd(t *testing.T) {
	l := NewLease()
	others := []ident.Instance{"b"}
	l.ConfirmPromise("b", at(0))
	if end := l.End(others); end != clock.Never {
		t.Errorf("a lease without any read ends at %v", end)
	}
	l.ConfirmRead(at(0))
	l.ConfirmPromise("b", at(time.Hour))
	if end, want := l.End(others), at(MaxUnconfirmed); end != want {
		t.Errorf("the lease ends at %v, want %v", end, want)
	}
}

// TestNoPromiseAgainstAnOpenProposal checks that a member that proposes to take
// rows stops to promise before the proposal leaves, and goes on once it is void.
func TestNoPromiseAgainstAnOpenProposal(t *testing.T) {
	a := NewAgent("a", at(0))
	a.Joined(at(0))
	lost := Owner{Instance: "b", Target: Target{ID: "t", Born: 1}}
	own := Candidate{Owner: Owner{Instance: "a", Target: Target{ID: "u", Born: 1}}, Slots: 1, Ready: true, Heard: true}
	a.TableRead(&Table{Rows: []Row{{Range: Range{To: MaxKey}, Token: 1, Owner: lost}}}, 0, at(0))
	a.Applied(1, at(0), true)
	if !a.Promises("b", 1) {
		t.Fatal("no promise to a member that is to lose nothing")
	}
	s := Situation{Now: at(5 * time.Second), Self: own, Candidates: []Candidate{own, {Owner: lost, Slots: 1, Ready: true, Heard: true, Silent: true}}, Established: true}
	p := a.Plan(&s)
	if p == nil || p.At != 1 {
		t.Fatalf("proposal %+v, want one at 1", p)
	}
	if a.Promises("b", 1) {
		t.Error("a promise was given while a proposal takes the rows")
	}
	a.Proposed(1, Unsettled, at(6*time.Second))
	if a.Promises("b", 1) {
		t.Error("a promise was given while the proposal may land late")
	}
	a.Applied(2, at(7*time.Second), true)
	a.Plan(&Situation{Now: at(7 * time.Second), Self: own, Candidates: []Candidate{own, {Owner: lost, Slots: 1, Ready: true, Heard: true}}, Established: true})
	if !a.Promises("b", 2) {
		t.Error("no promise although the proposal is void")
	}
}

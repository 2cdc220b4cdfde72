package ownertable

import (
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

func at(d time.Duration) clock.Time { return clock.Time(time.Hour + d) }

// TestFailedMemberEndsLeaseExtensions guards against treating extensions as complete
// after one member has failed: a recent read keeps the lease valid, but reads
// must stay frequent until the member is removed from the directory.
func TestFailedMemberEndsLeaseExtensions(t *testing.T) {
	a := NewAgent("a", at(0))
	others := []ident.Instance{"b", "c"}
	a.Joined(at(0), time.Hour)
	a.Applied(1, at(0), true)
	a.LeaseExtended("b", at(time.Second))
	a.LeaseExtended("c", at(time.Second))
	if now := at(time.Second); !a.KeptByExtensions(others, now) || a.LeaseLeft(others, now) != LeaseTime {
		t.Errorf("with extensions from all members: kept %v, left %v", a.KeptByExtensions(others, now), a.LeaseLeft(others, now))
	}
	a.LeaseExtended("b", at(4*time.Second)) // c does not respond
	a.Applied(1, at(4*time.Second), true)
	now := at(4 * time.Second)
	if a.LeaseLeft(others, now) != LeaseTime {
		t.Errorf("lease left after a read: %v, want %v", a.LeaseLeft(others, now), LeaseTime)
	}
	if a.KeptByExtensions(others, now) {
		t.Error("extensions count as complete although one member does not respond")
	}
	if !a.KeptByExtensions([]ident.Instance{"b"}, now) {
		t.Error("the lease depends on a member that was removed from the directory")
	}
}

// TestLeaseExtensionsEnd checks that extensions keep a lease valid without the store
// only for a bounded time, because members that joined since the last read are
// not in the local directory.
func TestLeaseExtensionsEnd(t *testing.T) {
	l := NewLease()
	others := []ident.Instance{"b"}
	l.ConfirmExtension("b", at(0))
	if end := l.End(others); end != clock.Never {
		t.Errorf("a lease that no read has confirmed ends at %v", end)
	}
	l.ConfirmRead(at(0))
	l.ConfirmExtension("b", at(time.Hour))
	if end, want := l.End(others), at(MaxUnconfirmed); end != want {
		t.Errorf("the lease ends at %v, want %v", end, want)
	}
}

// TestNoLeaseExtensionDuringUndecidedProposal checks that a member stops extending the
// lease of another member before it sends a proposal that takes shards from it,
// and extends the lease again once the proposal is certainly rejected.
func TestNoLeaseExtensionDuringUndecidedProposal(t *testing.T) {
	a := NewAgent("a", at(0))
	a.Joined(at(0), time.Hour)
	failed := Owner{Instance: "b", Target: Target{ID: "t", StartTime: 1}}
	own := Candidate{Owner: Owner{Instance: "a", Target: Target{ID: "u", StartTime: 1}}, Slots: 1, Ready: true, Responded: true}
	a.TableRead(&Table{Shards: []Shard{{Range: Range{To: MaxKey}, Token: 1, Owner: failed}}}, 0, at(0))
	a.Applied(1, at(0), true)
	if !a.MayExtendLease("b", 1) {
		t.Fatal("the lease of a member that loses no shards is not extended")
	}
	s := PlanRequest{Now: at(5 * time.Second), Self: own, Candidates: []Candidate{own, {Owner: failed, Slots: 1, Ready: true, Responded: true, Suspected: true}}}
	p := a.Plan(&s)
	if p == nil || p.At != 1 {
		t.Fatalf("proposal %+v, want one at 1", p)
	}
	if a.MayExtendLease("b", 1) {
		t.Error("the lease is extended while a proposal takes the shards")
	}
	a.Proposed(1, Indeterminate, at(6*time.Second))
	if a.MayExtendLease("b", 1) {
		t.Error("the lease is extended while the proposal may still be appended")
	}
	a.Applied(2, at(7*time.Second), true)
	a.Plan(&PlanRequest{Now: at(7 * time.Second), Self: own, Candidates: []Candidate{own, {Owner: failed, Slots: 1, Ready: true, Responded: true}}})
	if !a.MayExtendLease("b", 2) {
		t.Error("the lease is not extended although the proposal was rejected")
	}
}

// TestOnlyMemberGrantsNoLongerThanLeaseTime guards against grants that outlast the
// time for which a restarted daemon waits: the shards counted as released while the
// target still held them.
func TestOnlyMemberGrantsNoLongerThanLeaseTime(t *testing.T) {
	a := NewAgent("a", at(0))
	a.Joined(at(0), time.Hour)
	owner := Owner{Instance: "a", Target: Target{ID: "t", StartTime: 1}}
	a.TableRead(&Table{Shards: []Shard{{Range: Range{To: MaxKey}, Token: 1, Owner: owner}}}, 0, at(0))
	a.Applied(1, at(0), true)
	if reply := a.Heartbeat(owner, &Report{Seq: 1}, nil, 10*time.Second, at(0), at(0)); reply.TTL == 0 || reply.TTL > LeaseTime {
		t.Errorf("the only member of a service grants for %v, want at most %v", reply.TTL, LeaseTime)
	}
}

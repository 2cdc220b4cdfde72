package ownertable

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/ident"
)

func simpleCandidate(name ident.Instance) Candidate {
	return Candidate{Owner: Owner{Instance: name, Target: Target{ID: "t", StartTime: 1}}, Slots: 1, Ready: true, Responded: true}
}

// granted returns an agent that has granted two shards of the token 1 to its target.
func granted(t *testing.T) (*Agent, Candidate) {
	t.Helper()
	self := simpleCandidate("a")
	a := NewAgent("a", at(-time.Minute))
	a.Joined(at(0), time.Hour)
	a.TableRead(&Table{Shards: []Shard{
		{Range: Range{0, 99}, Token: 1, Owner: self.Owner}, {Range: Range{100, MaxKey}, Token: 1, Owner: self.Owner},
	}}, 0, at(0))
	a.Applied(1, at(0), true)
	if reply := a.Heartbeat(self.Owner, &Report{Seq: 1}, []ident.Instance{"b"}, 10*time.Second, at(0), at(0)); len(reply.Grants) != 2 {
		t.Fatalf("reply %+v", reply)
	}
	return a, self
}

// TestReportListsOnlyWhatNobodyElseMayHold guards against a report of keys that
// another target may have got: the first table could be made without waiting then.
func TestReportListsOnlyWhatNobodyElseMayHold(t *testing.T) {
	for name, c := range map[string]struct {
		change func(a *Agent, self *Candidate)
		now    time.Duration
		rows   int
	}{
		"nothing changed": {func(*Agent, *Candidate) {}, time.Second, 2},
		"expired":         {func(*Agent, *Candidate) {}, LeaseTime + time.Second, 0},
		"unreachable":     {func(_ *Agent, self *Candidate) { self.Unreachable = true }, time.Second, 2},
		"target replaced": {func(a *Agent, self *Candidate) { self.Target.StartTime++; a.TargetReplaced() }, time.Second, 0},
		"released": {func(a *Agent, _ *Candidate) {
			a.released[ShardID{From: 100, Token: 1}] = ""
		}, time.Second, 1},
		"granted by an earlier process": {func(a *Agent, _ *Candidate) { a.grants = NewGrantTracker(at(0)) }, time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			a, self := granted(t)
			c.change(a, &self)
			a.EnterEra(1, &self, at(c.now))
			if rows := a.recovery.report.Rows; len(rows) != c.rows {
				t.Errorf("the report lists %v, want %d rows", rows, c.rows)
			}
		})
	}
}

// TestReportedShardsAreRenewedInALaterEra checks that a target keeps its shards over
// a change of the era, with the same tokens and only once the store has the report.
func TestReportedShardsAreRenewedInALaterEra(t *testing.T) {
	a, self := granted(t)
	now := at(time.Second)
	a.EnterEra(1, &self, now)
	heartbeat := func(seq uint64) HeartbeatReply {
		return a.Heartbeat(self.Owner, &Report{Seq: seq}, nil, 10*time.Second, now, now)
	}
	a.Joined(now, time.Hour)
	a.Applied(Offset(1, 0), now, true)
	due := a.ReportDue()
	if reply := heartbeat(2); due == nil || reply.TTL != 0 {
		t.Fatalf("report due %v, before it is stored the reply is %+v", due, reply)
	}
	a.ReportRead(due, Offset(1, 0), now)
	a.Applied(Offset(1, 1), now, true)
	if reply := heartbeat(3); len(reply.Grants) != 2 || reply.Grants[1].Token != 1 {
		t.Errorf("after the report is stored the reply is %+v", reply)
	}
	late := &Table{Shards: []Shard{{Range: Range{To: MaxKey}, Token: 40, Owner: Owner{Instance: "b"}}}}
	a.TableRead(late, Offset(1, 1), now)
	if a.Table() != nil || a.MayExtendLease("b", 7) {
		t.Error("a table of an older era is in force, or a member's lease of that era is extended")
	}
	p := a.Plan(&PlanRequest{Now: now, Self: self, Candidates: []Candidate{self, simpleCandidate("b")}})
	if p == nil || p.Table.Era() != 1 || len(p.Table.OwnedBy(self.Owner)) != 2 {
		t.Errorf("with all keys reported the proposal is %+v", p)
	}
}

// TestFirstAssignmentInAStoreWithEras guards against a first assignment that waits
// for MaxUnconfirmed in a new fleet, or that does not wait for a member which may
// depend on extensions.
func TestFirstAssignmentInAStoreWithEras(t *testing.T) {
	a, self, other := NewAgent("a", at(0)), simpleCandidate("a"), simpleCandidate("b")
	a.EnterEra(3, &self, at(0))
	a.Joined(at(0), 0)
	a.Applied(Offset(3, 0), at(0), true)
	a.ReportRead(a.ReportDue(), Offset(3, 0), at(0))
	plan := func(d time.Duration) *Proposal {
		return a.Plan(&PlanRequest{Now: at(d), Self: self, Candidates: []Candidate{self, other}})
	}
	if p := plan(MaxUnconfirmed - time.Second); p != nil {
		t.Fatal("the first table does not wait for a member that has not reported")
	}
	a.ReportRead(&HoldReport{Era: 3, Owner: other.Owner, UnreportedFor: 2 * time.Second}, Offset(3, 1), at(2*time.Second))
	if p := plan(TakeoverWait(true) - time.Millisecond); p != nil {
		t.Error("the first table does not wait for members that are unknown")
	}
	p := plan(2*time.Second + GrantExpiryBound(2*time.Second))
	if p == nil || p.At != Offset(3, 2) || len(p.Table.OwnedBy(other.Owner)) != shardsPerTarget {
		t.Errorf("after all members have reported the proposal is %+v", p)
	}
	a.Applied(Offset(3, 2), at(MaxCopyAge-time.Second), true)
	later := at(MaxCopyAge + 5*time.Second)
	a.LeaseExtended("b", later)
	if left := a.LeaseLeft([]ident.Instance{"b"}, later); left > 0 {
		t.Errorf("the lease of a member whose record may be lost depends on extensions, left %v", left)
	}
	a.Applied(Offset(3, 2), at(MaxCopyAge), true)
	if left := a.LeaseLeft([]ident.Instance{"b"}, later); left != LeaseTime {
		t.Errorf("the lease left by extensions is %v, want %v", left, LeaseTime)
	}
}

// TestFirstTableContainsAllKeys checks the first table of reports that lie across
// the shards of the older table.
func TestFirstTableContainsAllKeys(t *testing.T) {
	all := []Candidate{simpleCandidate("a"), simpleCandidate("b"), simpleCandidate("c")}
	older, _ := Plan(NewTable(), 0, &PlanInput{Candidates: all, MembershipStable: true})
	all[2].Ready = false
	reported := []Shard{
		{Range: Range{0, 1000}, Token: 9, Owner: all[0].Owner},
		{Range: Range{30000, 50000}, Token: 9, Owner: all[2].Owner},
	}
	table, _ := PlanFirst(reported, older, Offset(2, 7), &PlanInput{Candidates: all})
	back, err := Decode(table.Encode())
	if err != nil || table.Era() != 2 || len(table.Shards) > smallTableShards {
		t.Fatalf("a table of %d shards in era %d, error %v", len(table.Shards), table.Era(), err)
	}
	for key := uint32(0); key <= MaxKey; key++ {
		r, was := back.Find(key), older.Find(key)
		want := was.Owner
		switch {
		case key <= 1000:
			want = all[0].Owner
		case key >= 30000 && key <= 50000:
			want = all[2].Owner
		case was.Owner == all[2].Owner: // not ready and not reported
			want = r.Owner
		}
		if r.Owner != want || r.Token != Offset(2, 7)+1 {
			t.Fatalf("key %d: %+v, want the owner %v", key, r, want)
		}
	}
}

// TestReportRecords checks the encoding of reports and that malformed ones are
// rejected.
func TestReportRecords(t *testing.T) {
	r := &HoldReport{Era: 4, Owner: simpleCandidate("a").Owner, Process: 9, Rows: []Held{{Range: Range{5, 6}, Token: 1 << 40}}, UnreportedFor: time.Second}
	if back, err := DecodeReport(r.Encode()); err != nil || !reflect.DeepEqual(back, r) {
		t.Errorf("decoded %+v, error %v", back, err)
	}
	r.Rows = append(r.Rows, Held{Range: Range{6, 8}})
	var want *RecordError
	if _, err := DecodeReport(r.Encode()); !errors.As(err, &want) {
		t.Errorf("rows that overlap: error %v", err)
	}
	if _, err := DecodeReport(NewTable().Encode()); !errors.As(err, &want) {
		t.Errorf("a table decoded as a report: error %v", err)
	}
}

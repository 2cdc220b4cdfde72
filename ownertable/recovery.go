package ownertable

import (
	"cmp"
	"maps"
	"slices"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// recovery is what a daemon knows about the ownership of keys in an era of the
// store until it has read the first table of that era.
type recovery struct {
	since    clock.Time  // when this process learned of the era
	older    *Table      // newest table of an older era, which says who owned a key; nil if there is none
	report   *HoldReport // of this process
	reports  map[string]receivedReport
	reported []Shard // the rows of all reports, in ascending key order
}

// receivedReport is a report that was read from the store.
type receivedReport struct {
	*HoldReport
	unreportedUntil clock.Time // when keys that it does not list are certainly not held any more
}

// EnterEra records that the store is in an era, which this process has learned at
// now. If the era is later than the known one, what the store contained may be
// lost: no table is in force, the lease starts anew, the daemon must join again,
// and self, the local target, is granted only what it may hold already. EnterEra
// must be called before records of the era are applied. It reports whether the era
// is later.
func (a *Agent) EnterEra(era uint32, self *Candidate, now clock.Time) bool {
	if era <= a.era {
		return false
	}
	report := &HoldReport{Era: era, Owner: self.Owner, Process: int64(a.started), Rows: a.heldRows(self.Owner, now), UnreportedFor: max(a.grants.lastExpiry().Sub(now), 0)}
	older := a.recovery.older
	if a.table != nil {
		older = a.table
	}
	a.era, a.readEnd, a.table = era, Offset(era, 0), nil
	a.lease, a.joinedAt, a.recordAge = NewLease(), clock.Never, 0
	a.proposal, a.changeNeededSince, a.nextProposalAt = proposal{}, clock.Never, clock.Never
	a.released, a.revokedSince, a.revocationEnd = make(map[ShardID]string), make(map[ShardID]clock.Time), make(map[ident.Instance]uint64)
	a.recovery = recovery{since: now, older: older, report: report, reports: make(map[string]receivedReport)}
	return true
}

// Era returns the era of the store that this process knows, or 0 if the store
// states none.
func (a *Agent) Era() uint32 { return a.era }

// Recovering reports whether the first table of the store's era has not been read.
func (a *Agent) Recovering() bool { return a.era > 0 && a.table == nil }

// ReportDue returns the report that must be appended to the store, or nil if the
// store contains it or it is not needed. It may be appended more than once.
func (a *Agent) ReportDue() *HoldReport {
	if !a.Recovering() || a.lease.LastRead() == clock.Never || a.reportStored() {
		return nil
	}
	return a.recovery.report
}

// reportStored reports whether this process's report was read from the store.
func (a *Agent) reportStored() bool {
	_, ok := a.recovery.reports[a.recovery.report.Name()]
	return ok
}

// ReportRead applies a report that was read at an offset of the directory. A
// report of another era has no effect.
func (a *Agent) ReportRead(r *HoldReport, offset uint64, now clock.Time) {
	if EraOf(offset) != a.era {
		return
	}
	a.readEnd = max(a.readEnd, offset+1)
	if r.Era != a.era {
		return
	}
	name := r.Name()
	if _, ok := a.recovery.reports[name]; ok {
		return
	}
	a.recovery.reports[name] = receivedReport{HoldReport: r, unreportedUntil: now.Add(GrantExpiryBound(r.UnreportedFor))}
	a.recovery.reported = reportedShards(a.recovery.reports)
}

// heldRows returns the ranges that the target may hold under grants of this process
// and that nobody else may hold.
func (a *Agent) heldRows(owner Owner, now clock.Time) []Held {
	var rows []Held
	shards := a.ownedShards(owner)
	if a.Recovering() && !a.reportStored() {
		shards = reportedShards(map[string]receivedReport{"": {HoldReport: a.recovery.report}})
	}
	for _, r := range shards {
		if _, ok := a.released[r.ID()]; !ok && a.grants.MayHold(&r, now) {
			rows = append(rows, Held{Range: r.Range, Token: r.Token})
		}
	}
	return rows
}

// ownedShards returns the shards that may be granted to the local target: those of
// the table in force or, before there is one, those that reports of this daemon
// list.
func (a *Agent) ownedShards(owner Owner) []Shard {
	t := a.table
	if t == nil {
		t = &Table{Shards: a.recovery.reported}
	}
	return t.OwnedBy(owner)
}

// reportedShards returns the rows of reports as shards without overlaps. Reports do not
// overlap; if they did, the larger token would win.
func reportedShards(reports map[string]receivedReport) []Shard {
	var all []Shard
	for _, name := range slices.Sorted(maps.Keys(reports)) {
		r := reports[name]
		for _, h := range r.Rows {
			all = append(all, Shard{Range: h.Range, Token: h.Token, Owner: r.Owner})
		}
	}
	slices.SortStableFunc(all, func(a, b Shard) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(b.Token, a.Token)) })
	var disjoint []Shard
	for _, s := range all {
		if n := len(disjoint); n > 0 && disjoint[n-1].Overlaps(s.Range) {
			if disjoint[n-1].Token < s.Token {
				disjoint[n-1] = s
			}
			continue
		}
		disjoint = append(disjoint, s)
	}
	return disjoint
}

// listsAllKeys reports whether the reports list every key.
func (rec *recovery) listsAllKeys() bool {
	next := uint32(0)
	for i := range rec.reported {
		if rec.reported[i].From != next {
			return false
		}
		next = rec.reported[i].To + 1
	}
	return next == MaxKey+1
}

// mayAssignUnreported reports whether every grant of an older era has expired,
// except for those of reported shards, so that the other keys can be assigned.
// established says that all other members knew this one when they last read the
// store.
func (rec *recovery) mayAssignUnreported(self ident.Instance, candidates []Candidate, established bool, now clock.Time) bool {
	known := now.Sub(rec.since)
	if known < TakeoverWait(true) {
		return false
	}
	if established || known >= TakeoverWait(false) {
		return true
	}
	// A member that did not know this one may have kept its lease by extensions
	// until it learned of the era itself, as its report shows.
	for i := range candidates {
		if c := &candidates[i]; c.Instance != self && !rec.expiredAt(c.Instance, now) {
			return false
		}
	}
	return true
}

// expiredAt reports whether an instance has reported and the grants that it could
// not report have expired.
func (rec *recovery) expiredAt(instance ident.Instance, now clock.Time) bool {
	reported := false
	for _, r := range rec.reports {
		if r.Owner.Instance == instance {
			if reported = true; now.Before(r.unreportedUntil) {
				return false
			}
		}
	}
	return reported
}

// firstTable returns the first table of the era once it is certain who holds which
// keys, or nil.
func (a *Agent) firstTable(s *PlanRequest, input *PlanInput) (*Table, []Change) {
	rec := &a.recovery
	if a.lease.LastRead() == clock.Never || !a.reportStored() {
		return nil, nil
	}
	if !rec.listsAllKeys() && !rec.mayAssignUnreported(a.self, s.Candidates, a.established(s.Now), s.Now) {
		return nil, nil
	}
	return PlanFirst(rec.reported, rec.older, a.readEnd, input)
}

// mayRelyOnExtensions reports whether extensions alone may keep the lease: if the
// store goes back after the last read, the copy must still contain the own record.
func (a *Agent) mayRelyOnExtensions() bool {
	return a.era == 0 || a.MemberFor(a.lease.LastRead()) >= MaxCopyAge
}

// established reports whether all other members have had this member in the
// directory for MaxUnconfirmed.
func (a *Agent) established(now clock.Time) bool { return a.MemberFor(now) > MaxUnconfirmed }

// MayHold reports whether the target may hold all keys of a shard under grants that
// this process made.
func (t *GrantTracker) MayHold(shard *Shard, now clock.Time) bool {
	return now.Before(t.grantOf(shard).ownExpiry)
}

// lastExpiry returns when all grants have certainly expired at the target, those of
// earlier processes included.
func (t *GrantTracker) lastExpiry() clock.Time {
	last := t.inheritedExpiry
	for _, g := range t.grants {
		last = max(last, g.expires)
	}
	return last
}

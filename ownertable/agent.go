package ownertable

import (
	"math"
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

const (
	// settleTime is how long no daemon or target may have joined before the
	// first table is made, so that it has all of them.
	settleTime = 800 * time.Millisecond
	// proposeStep is how much longer each daemon in the order of names waits
	// before it proposes, so that usually one of them does.
	proposeStep = 250 * time.Millisecond
	// proposePause is the pause after a proposal that the store did not take.
	proposePause = 150 * time.Millisecond
)

// Agent is one daemon's part in the ownership of the keys of its service. It
// takes what was read from the store, promises of the other members and
// heartbeats of its target, and says what to grant and what to propose. It has
// no I/O and no clock, and belongs to one goroutine.
type Agent struct {
	self    ident.Instance
	started clock.Time

	table    *Table
	read     uint64     // end of the directory as it was applied
	joinedAt clock.Time // when the own record was read from the store
	lease    *Lease
	keeper   *Keeper

	changedAt clock.Time // when a daemon or a target last changed
	wantedAt  clock.Time // since when a change of the table is wanted
	notBefore clock.Time
	shedAt    clock.Time // when rows were last given away for load
	proposal  proposal
	freed     map[RowID]string
	revoked   map[RowID]clock.Time // when revocations were read
	// revokedAt is the end of the directory after the newest table that revoked
	// rows of an instance.
	revokedAt map[ident.Instance]uint64
}

// proposal is a table that was appended and may or may not stand in the store.
type proposal struct {
	inFlight  bool // the store has not answered yet
	open      bool // it may stand, or still come to stand, at the offset at
	unsettled bool // one at this offset had no answer
	at        uint64
	takes     []ident.Instance // owners that lose rows by it
}

// Proposal is a table to append if the directory still ends at At.
type Proposal struct {
	At      uint64
	Table   *Table
	Changes []Change
}

// Verdict is how the append of a proposal ended.
type Verdict uint8

const (
	// Stands means that the store has taken the proposal.
	Stands Verdict = 1
	// Void means that it has not and never will.
	Void Verdict = 2
	// Unsettled means that it may stand, or come to stand later.
	Unsettled Verdict = 3
)

// NewAgent returns the agent of a daemon process that started at started.
func NewAgent(self ident.Instance, started clock.Time) *Agent {
	return &Agent{
		self: self, started: started, lease: NewLease(), keeper: NewKeeper(started),
		freed: make(map[RowID]string), revoked: make(map[RowID]clock.Time), revokedAt: make(map[ident.Instance]uint64),
	}
}

// Table returns the newest table that was read, or nil.
func (a *Agent) Table() *Table { return a.table }

// Joined notes that the own record stands in the store. A daemon that has left
// the directory must join again before it grants or proposes.
func (a *Agent) Joined(now clock.Time) {
	if a.joinedAt == clock.Never {
		a.joinedAt = now
	}
}

// Left notes that the own record was removed.
func (a *Agent) Left() { a.joinedAt = clock.Never }

// IsMember reports whether the own record stands in the store.
func (a *Agent) IsMember() bool { return a.joinedAt != clock.Never }

// MemberFor returns how long the own record has stood in the store, as far as
// this process knows; 0 if it does not.
func (a *Agent) MemberFor(now clock.Time) time.Duration {
	if !a.IsMember() {
		return 0
	}
	return now.Sub(a.joinedAt)
}

// Changed notes that a daemon or a target of the service has changed.
func (a *Agent) Changed(now clock.Time) { a.changedAt = now }

// TargetReplaced forgets what an earlier life of the target was granted. The
// later life at the same address proves the end of the earlier one.
func (a *Agent) TargetReplaced() {
	a.keeper = NewKeeper(clock.Time(math.MinInt64 / 2))
}

// Applied notes that the directory was read up to end by a read sent at sent.
// complete says that this was the end of the directory then.
func (a *Agent) Applied(end uint64, sent clock.Time, complete bool) {
	a.read = max(a.read, end)
	if complete && a.IsMember() {
		a.lease.ConfirmRead(sent)
	}
}

// Promised notes that a member has promised to propose nothing against this
// daemon, in answer to a message sent at sent.
func (a *Agent) Promised(by ident.Instance, sent clock.Time) { a.lease.ConfirmPromise(by, sent) }

// Promises reports whether this daemon can promise another member, which has
// read the directory up to its read, that it proposes nothing that takes rows
// from it. A proposal that is not settled keeps it from promising.
func (a *Agent) Promises(to ident.Instance, read uint64) bool {
	taken := a.proposal.open && slices.Contains(a.proposal.takes, to)
	return a.IsMember() && !taken && read >= a.revokedAt[to]
}

// LeaseLeft returns how long the lease lasts; others are all other members.
func (a *Agent) LeaseLeft(others []ident.Instance, now clock.Time) time.Duration {
	if !a.IsMember() || a.lease.LastRead() == clock.Never {
		return 0
	}
	return a.lease.End(others).Sub(now)
}

// KeptByPromises reports whether promises alone keep the lease for most of its
// length, so that the store may be read seldom.
func (a *Agent) KeptByPromises(others []ident.Instance, now clock.Time) bool {
	return a.lease.PromisedUntil(others).Sub(now) > LeaseTime/2 && now.Sub(a.lease.LastRead()) < MaxUnconfirmed/2
}

// LastRead returns when the last complete read of the directory was sent.
func (a *Agent) LastRead() clock.Time { return a.lease.LastRead() }

// TableRead takes a table that stands in the directory at an offset.
func (a *Agent) TableRead(t *Table, offset uint64, now clock.Time) {
	revoked := make(map[RowID]clock.Time)
	freed := make(map[RowID]string)
	for i := range t.Rows {
		r := &t.Rows[i]
		if handover, ok := a.freed[r.ID()]; ok {
			freed[r.ID()] = handover
		}
		if r.Revoked == NotRevoked {
			continue
		}
		since, ok := a.revoked[r.ID()]
		if !ok {
			since = now
			a.revokedAt[r.Owner.Instance] = offset + 1
		}
		revoked[r.ID()] = since
	}
	a.table, a.revoked, a.freed = t, revoked, freed
	a.read = max(a.read, offset+1)
	a.wantedAt = clock.Never
}

// Heartbeat answers a heartbeat of the target that came at received.
func (a *Agent) Heartbeat(owner Owner, report *Report, others []ident.Instance, longest time.Duration, received, now clock.Time) Answer {
	left := a.LeaseLeft(others, now)
	if left > 0 {
		left += now.Sub(received) // the target counts from when it sent the heartbeat
	}
	var rows []Row
	if a.table != nil {
		rows = a.table.Owned(owner)
	}
	answer := a.keeper.Heartbeat(rows, report, left, longest, received)
	for id, handover := range answer.Freed {
		a.freed[id] = handover
	}
	return answer
}

// RowsComing reports whether rows are on their way to the target and it has
// none to let go or to get now.
func (a *Agent) RowsComing(owner Owner) bool {
	if a.table == nil {
		return false
	}
	coming := false
	for i := range a.table.Rows {
		r := &a.table.Rows[i]
		if r.Owner == owner && (r.Revoked != NotRevoked || !a.keeper.Granted(r.ID())) {
			return false
		}
		coming = coming || r.Revoked != NotRevoked && r.Next == owner
	}
	return coming
}

// Inherited returns the rows that the target has from an earlier process.
func (a *Agent) Inherited(owner Owner) []Grant {
	var grants []Grant
	if a.table == nil {
		return nil
	}
	for _, r := range a.table.Owned(owner) {
		if r.Revoked == NotRevoked {
			grants = append(grants, Grant{Range: r.Range, Token: r.Token})
		}
	}
	return grants
}

// Situation is what a plan needs besides what the agent knows.
type Situation struct {
	Now        clock.Time
	Self       Candidate
	Candidates []Candidate // all of the service, this daemon's included
	Rank       int         // of this daemon among those that answer
	KeyLoad    KeyLoad
	// Established says that all others have surely known this member for
	// MaxUnconfirmed.
	Established bool
}

// Plan returns the table that this daemon is to propose now, or nil.
func (a *Agent) Plan(s *Situation) *Proposal {
	now := s.Now
	if !a.proposal.inFlight && a.read > a.proposal.at {
		a.proposal = proposal{}
	}
	if !a.IsMember() || a.proposal.inFlight || now.Before(a.notBefore) {
		return nil
	}
	t := a.table
	if t == nil {
		t = NewTable()
	}
	if !s.Self.Ready {
		a.noteLapsed(t, s.Self.Owner, now)
	}
	w := World{
		Now: now, Candidates: s.Candidates, Freed: a.freed, RevokedAt: a.revoked, Self: s.Self.Owner,
		Wait: TakeoverWait(s.Established), Settled: now.Sub(a.changedAt) > settleTime,
	}
	if now.Sub(a.shedAt) > shedPause {
		w.KeyLoad = s.KeyLoad
	}
	next, changes := Plan(t, a.read, &w)
	if next == nil {
		a.wantedAt = clock.Never
		return nil
	}
	if a.wantedAt == clock.Never {
		a.wantedAt = now
	}
	shedding := slices.ContainsFunc(changes, func(c Change) bool { return c.Reason == ReasonLoad })
	if len(a.freed) == 0 && !shedding && now.Sub(a.wantedAt) < time.Duration(s.Rank)*proposeStep {
		return nil
	}
	if shedding {
		a.shedAt = now
	}
	a.propose(changes)
	return &Proposal{At: a.read, Table: next, Changes: changes}
}

// noteLapsed frees revoked rows whose holds have run out at a target that is
// gone.
func (a *Agent) noteLapsed(t *Table, owner Owner, now clock.Time) {
	var rows []Row
	for _, r := range t.Owned(owner) {
		if r.Revoked != NotRevoked {
			rows = append(rows, r)
		}
	}
	for id, handover := range a.keeper.Lapsed(rows, now) {
		a.freed[id] = handover
	}
}

// propose notes a proposal. Owners that an earlier one at the same offset takes
// rows from stay noted, since that one may stand instead.
func (a *Agent) propose(changes []Change) {
	p := &a.proposal
	p.inFlight, p.open, p.at = true, true, a.read
	for i := range changes {
		if from := changes[i].From.Instance; from != "" && !slices.Contains(p.takes, from) {
			p.takes = append(p.takes, from)
		}
	}
}

// Proposed takes the end of a proposal's append. An unsettled one stays open
// until the directory has grown, since it may land late.
func (a *Agent) Proposed(at uint64, v Verdict, now clock.Time) {
	p := &a.proposal
	if p.at != at {
		return
	}
	p.inFlight = false
	switch {
	case v == Stands:
		return
	case v == Unsettled:
		p.unsettled = true
	case !p.unsettled:
		*p = proposal{}
	}
	a.notBefore = now.Add(proposePause)
}

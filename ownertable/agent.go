package ownertable

import (
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

const (
	// membershipStableTime is how long no daemon or target may have changed
	// before the initial table is made, so that the table contains all of them.
	membershipStableTime = 800 * time.Millisecond
	// proposalStagger is the additional delay before a proposal per rank in the
	// order of daemon names, so that usually only one daemon proposes.
	proposalStagger = 250 * time.Millisecond
	// proposalBackoff is the pause after a proposal that was not accepted.
	proposalBackoff = 150 * time.Millisecond
)

// Agent manages key ownership on behalf of one daemon. Its inputs are records
// read from the store, lease extensions by the other members and heartbeats of
// the local target. It decides which shards to grant and which table to propose.
// It does no I/O, reads no clock and must be used by one goroutine at a time.
type Agent struct {
	self    ident.Instance
	started clock.Time

	era       uint32        // era of the store; 0 if it states none
	recovery  recovery      // state until the first table of the era was read
	table     *Table        // newest table of the era
	readEnd   uint64        // offset of the end of the part of the directory that was applied
	joinedAt  clock.Time    // when this daemon's record was read from the store
	recordAge time.Duration // age that the record certainly had then
	lease     *Lease
	grants    *GrantTracker

	membershipChangedAt clock.Time // when a daemon or target last changed
	changeNeededSince   clock.Time // since when a change of the table is needed
	nextProposalAt      clock.Time
	loadMovedAt         clock.Time // when shards were last moved because of load
	proposal            proposal
	released            map[ShardID]string
	revokedSince        map[ShardID]clock.Time // when each revocation was read
	// revocationEnd is the offset after the newest table that revoked shards of an
	// instance.
	revocationEnd map[ident.Instance]uint64
}

// proposal is the state of the newest proposed table, which the store may or
// may not contain.
type proposal struct {
	inFlight      bool // the append has not returned
	undecided     bool // the store may contain it at offset, or may still append it
	indeterminate bool // the outcome of an append at this offset is not known
	offset        uint64
	losingOwners  []ident.Instance // owners that it takes shards from
}

// Proposal is a table to append on the condition that the directory still ends
// at the offset At.
type Proposal struct {
	At      uint64
	Table   *Table
	Changes []Change
}

// AppendOutcome is the outcome of the append of a proposal.
type AppendOutcome uint8

const (
	// Accepted means that the store contains the proposal.
	Accepted AppendOutcome = 1
	// Rejected means that the store does not contain the proposal and never will.
	Rejected AppendOutcome = 2
	// Indeterminate means that the store may contain the proposal or may still
	// append it.
	Indeterminate AppendOutcome = 3
)

// NewAgent returns the agent of a daemon process that started at started.
func NewAgent(self ident.Instance, started clock.Time) *Agent {
	return &Agent{
		self: self, started: started, lease: NewLease(), grants: NewGrantTracker(started),
		released: make(map[ShardID]string), revokedSince: make(map[ShardID]clock.Time), revocationEnd: make(map[ident.Instance]uint64),
	}
}

// Table returns the table in force, or nil if none was read in the store's era.
func (a *Agent) Table() *Table { return a.table }

// Joined records that the store contains this daemon's record. A daemon that
// has left the directory must join again before it grants or proposes. age is how
// long the record has certainly been in the store, in its present and in older
// eras: it is 0 for a record that was written again after the store lost it.
func (a *Agent) Joined(now clock.Time, age time.Duration) {
	if a.joinedAt == clock.Never {
		a.joinedAt, a.recordAge = now, age
	}
}

// Left records that this daemon's record was removed from the store.
func (a *Agent) Left() { a.joinedAt = clock.Never }

// IsMember reports whether the store contains this daemon's record, as of the
// last read.
func (a *Agent) IsMember() bool { return a.joinedAt != clock.Never }

// MemberFor returns how long the store has certainly contained this daemon's
// record, or 0 if the daemon is not a member.
func (a *Agent) MemberFor(now clock.Time) time.Duration {
	if !a.IsMember() {
		return 0
	}
	return now.Sub(a.joinedAt) + a.recordAge
}

// MembershipChanged records that a daemon or target of the service has changed.
func (a *Agent) MembershipChanged(now clock.Time) { a.membershipChangedAt = now }

// TargetReplaced records that another target has taken the place of the local one. What
// was granted to the earlier one stays assigned to it until those grants have expired: it
// may still run.
func (a *Agent) TargetReplaced() { a.grants.targetReplaced() }

// Owns reports whether the table in force names the owner.
func (a *Agent) Owns(o Owner) bool { return a.table != nil && len(a.table.OwnedBy(o)) > 0 }

// HoldsExpire returns when all grants to targets of this instance have certainly expired,
// those of earlier processes of this daemon included.
func (a *Agent) HoldsExpire() clock.Time { return a.grants.lastExpiry() }

// Applied records that the directory was read up to the offset end by a read
// that was sent at sent. complete says that the read reached the end of the
// directory. A read of another era than the known one has no effect.
func (a *Agent) Applied(end uint64, sent clock.Time, complete bool) {
	if EraOf(end) != a.era {
		return
	}
	a.readEnd = max(a.readEnd, end)
	if complete && a.IsMember() {
		a.lease.ConfirmRead(sent)
	}
}

// LeaseExtended records that a member has extended this daemon's lease in
// response to a message sent at sent. Extensions in response to messages from
// before the store's era was known belong to an older era.
func (a *Agent) LeaseExtended(by ident.Instance, sent clock.Time) {
	if a.era == 0 || a.recovery.since.Before(sent) {
		a.lease.ConfirmExtension(by, sent)
	}
}

// MayExtendLease reports whether this daemon may extend the lease of the member
// to, which has read the directory up to the offset read. It may not if a
// proposal that takes shards from the member may be accepted, if the member has
// not read the newest revocation of its shards, or if the two know different eras
// of the store.
func (a *Agent) MayExtendLease(to ident.Instance, read uint64) bool {
	losesShards := a.proposal.undecided && slices.Contains(a.proposal.losingOwners, to)
	return a.IsMember() && !losesShards && EraOf(read) == a.era && read >= a.revocationEnd[to]
}

// LeaseLeft returns the remaining time of the lease, at most LeaseTime; others are
// all other members. It is zero or negative if the lease is not valid.
func (a *Agent) LeaseLeft(others []ident.Instance, now clock.Time) time.Duration {
	if !a.IsMember() || a.lease.LastRead() == clock.Never {
		return 0
	}
	if !a.mayRelyOnExtensions() {
		return a.lease.LastRead().Add(LeaseTime).Sub(now)
	}
	// The lease of an only member depends on no extensions and lasts longer, but a
	// later process relies on grants of no more than LeaseTime.
	return min(a.lease.End(others).Sub(now), LeaseTime)
}

// KeptByExtensions reports whether lease extensions alone keep the lease valid
// for more than half of LeaseTime, so that the store can be read less often.
func (a *Agent) KeptByExtensions(others []ident.Instance, now clock.Time) bool {
	return a.mayRelyOnExtensions() && a.lease.ExtendedUntil(others).Sub(now) > LeaseTime/2 && now.Sub(a.lease.LastRead()) < MaxUnconfirmed/2
}

// LastRead returns when the last complete read of the directory was sent.
func (a *Agent) LastRead() clock.Time { return a.lease.LastRead() }

// TableRead applies a table that was read from the directory at an offset. A
// table that was made for an older era only tells who owned the keys.
func (a *Agent) TableRead(t *Table, offset uint64, now clock.Time) {
	if EraOf(offset) != a.era {
		return
	}
	if t.Era() != a.era {
		if a.recovery.older == nil || a.recovery.older.LastToken() < t.LastToken() {
			a.recovery.older = t
		}
		a.readEnd = max(a.readEnd, offset+1)
		return
	}
	revokedSince := make(map[ShardID]clock.Time)
	released := make(map[ShardID]string)
	for i := range t.Shards {
		r := &t.Shards[i]
		if handover, ok := a.released[r.ID()]; ok {
			released[r.ID()] = handover
		}
		if r.Revoked == NotRevoked {
			continue
		}
		since, ok := a.revokedSince[r.ID()]
		if !ok {
			since = now
			a.revocationEnd[r.Owner.Instance] = offset + 1
		}
		revokedSince[r.ID()] = since
	}
	a.table, a.revokedSince, a.released = t, revokedSince, released
	a.readEnd = max(a.readEnd, offset+1)
	a.changeNeededSince = clock.Never
}

// Heartbeat handles a heartbeat of the target that arrived at received. The TTL of
// the reply is 0 while it is not known what the target is to hold.
func (a *Agent) Heartbeat(owner Owner, report *Report, others []ident.Instance, longest time.Duration, received, now clock.Time) HeartbeatReply {
	left := a.LeaseLeft(others, now)
	if left > 0 {
		left += now.Sub(received) // the target counts the TTL from when it sent the heartbeat
	}
	shards := a.ownedShards(owner)
	if a.table == nil && (len(shards) == 0 || !a.reportStored()) {
		return HeartbeatReply{}
	}
	reply := a.grants.Heartbeat(shards, report, left, longest, received)
	for id, handover := range reply.Released {
		a.released[id] = handover
	}
	return reply
}

// AssignmentPending reports whether shards are due to move to the target while
// it has no shard left to release and none that is not yet granted. They are also
// due before the first table of an era if nothing can be granted until then.
func (a *Agent) AssignmentPending(owner Owner) bool {
	if a.table == nil {
		return a.Recovering() && len(a.ownedShards(owner)) == 0
	}
	pending := false
	for i := range a.table.Shards {
		r := &a.table.Shards[i]
		if r.Owner == owner && (r.Revoked != NotRevoked || !a.grants.Granted(r.ID())) {
			return false
		}
		pending = pending || r.Revoked != NotRevoked && r.NextOwner == owner
	}
	return pending
}

// InheritedGrants returns grants for the shards that the table assigns to the
// target, which an earlier process of this daemon has granted.
func (a *Agent) InheritedGrants(owner Owner) []Grant {
	var grants []Grant
	if a.table == nil {
		return nil
	}
	for _, r := range a.table.OwnedBy(owner) {
		if r.Revoked == NotRevoked {
			grants = append(grants, Grant{Range: r.Range, Token: r.Token})
		}
	}
	return grants
}

// PlanRequest is the input of Agent.Plan besides the state of the agent.
type PlanRequest struct {
	Now        clock.Time
	Self       Candidate
	Candidates []Candidate // all targets of the service, including the local one
	Rank       int         // of this daemon by name among those that respond
	KeyLoad    KeyLoad
}

// Plan returns the table that this daemon should propose now, or nil.
func (a *Agent) Plan(s *PlanRequest) *Proposal {
	now := s.Now
	if !a.proposal.inFlight && a.readEnd > a.proposal.offset {
		a.proposal = proposal{}
	}
	if !a.IsMember() || a.proposal.inFlight || now.Before(a.nextProposalAt) {
		return nil
	}
	input := PlanInput{
		Now: now, Candidates: s.Candidates, Released: a.released, RevokedAt: a.revokedSince, Self: s.Self.Owner,
		TakeoverWait: TakeoverWait(a.established(now)), MembershipStable: now.Sub(a.membershipChangedAt) > membershipStableTime,
	}
	if now.Sub(a.loadMovedAt) > movePause(s.Self.Load) {
		input.KeyLoad = s.KeyLoad
	}
	next, changes := a.nextTable(s, &input)
	if next == nil {
		a.changeNeededSince = clock.Never
		return nil
	}
	if a.changeNeededSince == clock.Never {
		a.changeNeededSince = now
	}
	movesLoad := slices.ContainsFunc(changes, func(c Change) bool { return c.Reason == ReasonLoad })
	if len(a.released) == 0 && !movesLoad && now.Sub(a.changeNeededSince) < time.Duration(s.Rank)*proposalStagger {
		return nil
	}
	if movesLoad {
		a.loadMovedAt = now
	}
	a.recordProposal(changes)
	return &Proposal{At: a.readEnd, Table: next, Changes: changes}
}

// nextTable returns the table that should replace the one in force and the
// differences, or nil if no change is needed or possible.
func (a *Agent) nextTable(s *PlanRequest, input *PlanInput) (*Table, []Change) {
	if a.Recovering() {
		return a.firstTable(s, input)
	}
	t := a.table
	if t == nil {
		t = NewTable()
	}
	a.releaseExpired(t, &s.Self, s.Now)
	return Plan(t, a.readEnd, input)
}

// releaseExpired marks shards as released whose grants have expired: those of earlier
// targets of this instance, and revoked ones of the local target if it is not ready.
func (a *Agent) releaseExpired(t *Table, self *Candidate, now clock.Time) {
	if self.Target.IsZero() {
		return // it is not known yet which of them are of earlier targets
	}
	var shards []Shard
	for i := range t.Shards {
		r := &t.Shards[i]
		earlier := r.Owner.Instance == self.Instance && r.Owner != self.Owner
		if earlier || r.Owner == self.Owner && r.Revoked != NotRevoked && !self.Ready {
			shards = append(shards, *r)
		}
	}
	for id, handover := range a.grants.Expired(shards, now) {
		a.released[id] = handover
	}
}

// recordProposal records a proposal. The owners that an earlier proposal at the
// same offset takes shards from stay recorded, because the earlier one may have
// been accepted instead.
func (a *Agent) recordProposal(changes []Change) {
	p := &a.proposal
	p.inFlight, p.undecided, p.offset = true, true, a.readEnd
	for i := range changes {
		if from := changes[i].PreviousOwner.Instance; from != "" && !slices.Contains(p.losingOwners, from) {
			p.losingOwners = append(p.losingOwners, from)
		}
	}
}

// Proposed records the outcome of the append of the proposal at an offset. An
// indeterminate proposal stays undecided until the directory has grown, because
// the store may still append it.
func (a *Agent) Proposed(at uint64, v AppendOutcome, now clock.Time) {
	p := &a.proposal
	if p.offset != at {
		return
	}
	p.inFlight = false
	switch {
	case v == Accepted:
		return
	case v == Indeterminate:
		p.indeterminate = true
	case !p.indeterminate:
		*p = proposal{}
	}
	a.nextProposalAt = now.Add(proposalBackoff)
}

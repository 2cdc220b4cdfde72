package cell

import (
	"slices"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// leader is the state of this process as the leader of a term.
type leader struct {
	term  uint64
	kind  ClaimKind
	since clock.Time // when the claim was read

	table          table
	revision       uint32     // counts changes of table and proposedDeputy, which heartbeats carry
	proposedDeputy ident.Node // deputy proposed for a takeover

	// leaderLeaseEnd is the end of the leader's own lease, before the maximum
	// staleness of the log is applied. Leases of members must not exceed it.
	leaderLeaseEnd clock.Time
	links          []*deputyLink
	nextRequest    uint32

	peers     []*peer
	noticeSeq uint32

	activation activation
	moves      []*move

	handoverSentAt clock.Time // when the deputy was last asked to claim
	probedAt       clock.Time // when members were asked to renew because the deputy does not respond
	timeoutsFrom   clock.Time // timeouts of other processes are counted from this time at the earliest
	balance        balance
	moveTimes      []clock.Time
}

// becomeLeader starts the term of this process's claim. Known holds assignments
// that are newer than those of the claim, or is nil.
func (n *Node) becomeLeader(c *Claim, known []Grant, d deputy) {
	own := n.heldGrants()
	term := n.ledger.Term()
	l := &leader{
		term:         term,
		kind:         c.Kind,
		since:        n.now,
		table:        newTable(term, n.ledger.state.Grants),
		revision:     1,
		nextRequest:  n.rng.Uint32(),
		timeoutsFrom: n.now,
		noticeSeq:    1,
		balance:      balance{decidedAt: n.now},
	}
	if known != nil {
		l.table.carryOver(known)
	}
	n.leader = l
	n.followTerm(term, n.self())
	n.follower.releasing = nil
	l.activation = n.newActivation(c, d)
	l.peers = append(l.peers, &peer{node: n.self(), member: n.cfg.Self, confirmed: true, priorGrants: own})
	n.syncPeers()
}

// stepDown ends the role of leader. Local grants stay until they expire.
func (n *Node) stepDown() {
	if n.leader == nil {
		return
	}
	n.leader = nil
	if n.follower.leader != n.self() {
		return
	}
	n.follower.leader = ident.Node{}
	n.follower.lastContact = n.now
	n.follower.releasing = nil
}

// runLeader carries out the due actions of the leader.
func (n *Node) runLeader() {
	l := n.leader
	if l == nil {
		return
	}
	if n.ledger.Term() != l.term {
		n.stepDown()
		return
	}
	n.syncPeers()
	n.syncLinks()
	n.activate()
	n.updateLeaderLease()
	n.updateCommitted()
	if l.activation.active {
		n.reassignRanges()
		n.runMoves()
		n.runBalance()
	}
	n.chooseDeputy()
	n.sendHeartbeats()
	n.sendLeaderNotices()
	n.pushGrants()
	n.applyOwnGrants()
	n.writeAssignments()
	n.runLeaderLeave()
}

// resetTimeouts restarts the timeouts of other processes.
func (l *leader) resetTimeouts(now clock.Time) { l.timeoutsFrom = now }

// grants returns the assignments sorted by Range.First.
func (l *leader) grants() []Grant { return l.table.grants() }

// bumpRevision records a change of the state that heartbeats carry.
func (l *leader) bumpRevision() { l.revision++ }

// grantLimit returns the time until which leases may be granted.
func (n *Node) grantLimit() clock.Time {
	l := n.leader
	if n.faultEnabled(FaultGrantWithoutLeaderLease) {
		return n.now.Add(n.timing.lease)
	}
	if !l.activation.active {
		return clock.Never
	}
	if n.faultEnabled(FaultIgnoreMaxLogStaleness) {
		return l.leaderLeaseEnd
	}
	if n.faultEnabled(FaultStopWithoutLog) && !n.logFresh() {
		return clock.Never
	}
	return min(l.leaderLeaseEnd, n.reader.lastTail.Add(n.timing.minusDrift(n.timing.maxLogStaleness)))
}

// applyOwnGrants updates the leader's own grants and extends their expiry.
func (n *Node) applyOwnGrants() {
	l, f := n.leader, &n.follower
	self := l.peer(n.self())
	grants := n.grantsFor(self)
	for _, g := range f.released {
		grants = slices.DeleteFunc(grants, func(h Grant) bool { return h == g })
	}
	limit := n.grantLimit()
	if limit <= n.now {
		return
	}
	f.grants = grants
	f.expires = max(f.expires, limit)
	f.releasing = slices.DeleteFunc(f.releasing, func(r releasingGrant) bool { return !slices.Contains(grants, r.grant) })
}

// updateCommitted determines the newest committed change, one that is stored on
// two of leader, deputy and log, and reports the newly committed grants.
func (n *Node) updateCommitted() {
	l := n.leader
	committed := max(l.table.committed, n.ledger.state.Seq)
	if seq, ok := n.replicatedSeq(); ok {
		committed = max(committed, seq)
	}
	if n.faultEnabled(FaultGrantBeforeCommit) {
		committed = l.table.seq
	}
	committed = min(committed, l.table.seq)
	if committed == l.table.committed {
		return
	}
	provisional := committed > n.ledger.state.Seq
	for _, e := range l.table.entries {
		if e.seq <= l.table.committed || e.seq > committed || e.grant.Owner.IsZero() {
			continue
		}
		n.out.Committed = append(n.out.Committed, e.grant)
		if provisional {
			n.audit(AuditEntry{Kind: AuditGranted, Node: e.grant.Owner, Range: e.grant.Range, Token: e.grant.Token, Reason: "stored on leader and deputy"})
		}
	}
	l.table.committed = committed
}

// writeAssignments appends the changes that the log does not contain yet.
func (n *Node) writeAssignments() {
	l := n.leader
	removed, restored := n.memberChanges()
	if !l.activation.active || l.table.seq == n.ledger.state.Seq && len(removed)+len(restored) == 0 {
		return
	}
	if !n.mayAppend(KindAssign) {
		return
	}
	nonce := n.newNonce()
	n.append(nonce, Record{Assign: &Assign{
		Nonce:    nonce,
		Term:     l.term,
		From:     n.ledger.state.Seq,
		To:       l.table.seq,
		Changed:  changedGrants(n.ledger.state.Grants, l.grants()),
		Removed:  removed,
		Restored: restored,
	}})
}

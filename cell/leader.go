package cell

import (
	"slices"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// leader is this process as the leader of a term.
type leader struct {
	term  uint64
	kind  ClaimKind
	since clock.Time // when the claim was read

	table    table
	revision uint32     // counts what heartbeats carry: changes of the table and of next
	next     ident.Node // deputy proposed for a takeover

	// authority is the time up to which leases may be granted, before the
	// blind limit is applied.
	authority   clock.Time
	links       []*link
	nextRequest uint32

	peers   []*peer
	leadSeq uint32

	gate  gate
	moves []*move

	handoverAt clock.Time // when the deputy was last asked to claim
	probed     clock.Time // when members were asked to renew because the deputy is silent
	judgeFrom  clock.Time // silence before this time is not held against others
	balance    balance
	moveTimes  []clock.Time
}

// becomeLeader takes up the term that this process's claim has started. Known
// holds assignments that are newer than those of the claim, if there are any.
func (n *Node) becomeLeader(c *Claim, known []Grant, d deputy) {
	own := n.heldGrants()
	term := n.ledger.Term()
	l := &leader{
		term:        term,
		kind:        c.Kind,
		since:       n.now,
		table:       newTable(term, n.ledger.state.Grants),
		revision:    1,
		nextRequest: n.rng.Uint32(),
		judgeFrom:   n.now,
		leadSeq:     1,
		balance:     balance{decided: n.now},
	}
	if known != nil {
		l.table.carryOver(known)
	}
	n.leader = l
	n.follow(term, n.self())
	n.follower.releasing = nil
	l.gate = n.newGate(c, d)
	l.peers = append(l.peers, &peer{node: n.self(), member: n.cfg.Self, confirmed: true, listed: own})
	n.syncPeers()
}

// stepDown ends the leader's role. Grants held locally run out by themselves.
func (n *Node) stepDown() {
	if n.leader == nil {
		return
	}
	n.leader = nil
	if n.follower.leader != n.self() {
		return
	}
	n.follower.leader = ident.Node{}
	n.follower.heard = n.now
	n.follower.releasing = nil
}

// runLeader does what is due in the leader's role.
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
	n.openGate()
	n.updateAuthority()
	n.updateStanding()
	if l.gate.open {
		n.giveAway()
		n.runMoves()
		n.runBalance()
	}
	n.chooseDeputy()
	n.sendHeartbeats()
	n.sendLeads()
	n.pushGrants()
	n.holdOwn()
	n.writeAssignments()
	n.runLeaderLeave()
}

// resumed restarts the timers that judge others.
func (l *leader) resumed(now clock.Time) { l.judgeFrom = now }

// grants returns the assignments by Range.First.
func (l *leader) grants() []Grant { return l.table.grants() }

// changed notes a change of what heartbeats carry.
func (l *leader) changed() { l.revision++ }

// grantLimit returns the time up to which leases may be granted.
func (n *Node) grantLimit() clock.Time {
	l := n.leader
	if n.broken(FaultGrantWithoutLeaderLease) {
		return n.now.Add(n.timing.lease)
	}
	if !l.gate.open {
		return clock.Never
	}
	if n.broken(FaultIgnoreMaxLogStaleness) {
		return l.authority
	}
	if n.broken(FaultStopWithoutLog) && !n.logFresh() {
		return clock.Never
	}
	return min(l.authority, n.reader.lastTail.Add(n.timing.shorter(n.timing.blind)))
}

// holdOwn puts the leader's own grants in force.
func (n *Node) holdOwn() {
	l, f := n.leader, &n.follower
	self := l.peer(n.self())
	grants := n.grantsFor(self)
	for _, g := range f.dropped {
		grants = slices.DeleteFunc(grants, func(h Grant) bool { return h == g })
	}
	limit := n.grantLimit()
	if limit <= n.now {
		return
	}
	f.grants = grants
	f.expires = max(f.expires, limit)
	f.releasing = slices.DeleteFunc(f.releasing, func(r releasing) bool { return !slices.Contains(grants, r.grant) })
}

// updateStanding finds the changes that have come to stand on two of leader,
// deputy and log, and reports them.
func (n *Node) updateStanding() {
	l := n.leader
	standing := max(l.table.standing, n.ledger.state.Seq)
	if seq, ok := n.pledgedSeq(); ok {
		standing = max(standing, seq)
	}
	if n.broken(FaultGrantBeforeCommit) {
		standing = l.table.seq
	}
	standing = min(standing, l.table.seq)
	if standing == l.table.standing {
		return
	}
	provisional := standing > n.ledger.state.Seq
	for _, e := range l.table.entries {
		if e.seq <= l.table.standing || e.seq > standing || e.grant.Owner.IsZero() {
			continue
		}
		n.out.Committed = append(n.out.Committed, e.grant)
		if provisional {
			n.audit(AuditEntry{Kind: AuditGranted, Node: e.grant.Owner, Range: e.grant.Range, Token: e.grant.Token, Reason: "stands on leader and deputy"})
		}
	}
	l.table.standing = standing
}

// writeAssignments brings the log up to date.
func (n *Node) writeAssignments() {
	l := n.leader
	gone, back := n.memberChanges()
	if !l.gate.open || l.table.seq == n.ledger.state.Seq && len(gone)+len(back) == 0 {
		return
	}
	if !n.mayAppend(KindAssign) {
		return
	}
	nonce := n.nonce()
	n.append(nonce, Record{Assign: &Assign{
		Nonce:   nonce,
		Term:    l.term,
		From:    n.ledger.state.Seq,
		To:      l.table.seq,
		Changed: changedGrants(n.ledger.state.Grants, l.grants()),
		Gone:    gone,
		Back:    back,
	}})
}

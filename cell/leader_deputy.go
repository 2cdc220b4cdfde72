package cell

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// chooseDeputy names another deputy if the current one does not respond, has
// exited or is leaving, or if there is none.
func (n *Node) chooseDeputy() {
	if n.appends.last[KindDeputy].nonce != 0 && n.appends.last[KindDeputy].outcome == 0 {
		return
	}
	deputy, due := n.deputyToName()
	if !due || !n.mayAppend(KindDeputy) {
		return
	}
	l := n.leader
	nonce := n.newNonce()
	n.append(nonce, Record{Deputy: &DeputyChange{
		Nonce:           nonce,
		ExpectedVersion: n.ledger.state.RolesVersion,
		Leader:          n.self(),
		Deputy:          deputy,
		Active:          l.activation.active,
		State:           State{Term: l.term, Seq: l.table.seq, Grants: l.grants()},
	}})
	n.syncLinks()
}

// deputyToName returns the deputy to name, or zero for none, and whether a
// DeputyChange is due.
func (n *Node) deputyToName() (ident.Node, bool) {
	current := n.ledger.Deputy()
	if len(n.appends.deputyChanges) > 0 {
		return n.indeterminateChoice(), true
	}
	if current.IsZero() {
		next := n.bestDeputy(0)
		n.out.ReadLog = n.out.ReadLog || !next.IsZero() && !n.logFresh()
		return next, !next.IsZero() && n.logFresh()
	}
	sinceAck := n.sinceDeputyAck()
	switch p := n.leader.peer(current); {
	case n.ledger.terminated(current):
		return n.bestDeputy(0), true
	case p != nil && p.leaving:
		return n.bestDeputy(0), true
	case sinceAck >= n.noDeputyTimeout():
		return n.bestDeputy(0), true
	}
	n.probeMembers(sinceAck)
	if sinceAck < n.timing.replaceTimeout {
		n.wake(n.now.Add(n.timing.replaceTimeout - sinceAck))
		return ident.Node{}, false
	}
	next := n.bestDeputy(n.leader.noticeSeq)
	return next, !next.IsZero()
}

// probeMembers asks all members to renew when the deputy stops responding. Only a
// member that answers replaces it: a leader that is itself cut off from the
// others must not cause its deputy's claim to be rejected.
func (n *Node) probeMembers(sinceAck time.Duration) {
	l := n.leader
	start := n.timing.probeTimeout
	if sinceAck < start {
		l.probedAt = clock.Never
		n.wake(n.now.Add(start - sinceAck))
		return
	}
	if l.probedAt != clock.Never {
		return
	}
	l.probedAt = n.now
	l.noticeSeq++
	for _, p := range l.peers {
		if p.node != n.self() && p.confirmed {
			n.sendLeaderNotice(p)
		}
	}
}

// indeterminateChoice repeats the choice of the newest DeputyChange of
// indeterminate outcome if that member still has a lease.
func (n *Node) indeterminateChoice() ident.Node {
	newest := n.appends.deputyChanges[len(n.appends.deputyChanges)-1].deputy
	if p := n.leader.peer(newest); p != nil && n.hasLease(p) && !p.leaving {
		return newest
	}
	return n.bestDeputy(0)
}

// sinceDeputyAck returns the time since the sending of the last heartbeat that
// the deputy answered.
func (n *Node) sinceDeputyAck() time.Duration {
	k := n.leader.link(n.ledger.Deputy())
	if k == nil {
		return 0
	}
	return n.now.Sub(max(k.ackedAt, k.since, n.leader.timeoutsFrom))
}

// noDeputyTimeout returns the time without an answer of the deputy after which the
// leader continues without a deputy. It is short in a cell of two, where no other
// deputy can be named. In a larger cell it is long enough for the deputy and the
// other members to replace a leader that is cut off.
func (n *Node) noDeputyTimeout() time.Duration {
	for _, m := range n.ledger.state.Members {
		node := m.Member.Node
		if !m.Removed && node != n.self() && node != n.ledger.Deputy() {
			return n.timing.noDeputyTimeout
		}
	}
	return n.timing.claimTimeout + n.timing.retry
}

package cell

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// chooseDeputy names another deputy if the present one is silent, has ended or
// leaves, or if there is none.
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
		ExpectedVersion: n.ledger.state.Base,
		Leader:          n.self(),
		Deputy:          deputy,
		Active:          l.activation.active,
		State:           State{Term: l.term, Seq: l.table.seq, Grants: l.grants()},
	}})
	n.syncLinks()
}

// deputyToName returns the deputy to name, which may be none, and whether a
// change is due.
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
	silence := n.sinceDeputyAck()
	switch p := n.leader.peer(current); {
	case n.ledger.terminated(current):
		return n.bestDeputy(0), true
	case p != nil && p.leaving:
		return n.bestDeputy(0), true
	case silence >= n.noDeputyTimeout():
		return n.bestDeputy(0), true
	}
	n.probeMembers(silence)
	if silence < n.timing.replaceTimeout {
		n.wake(n.now.Add(n.timing.replaceTimeout - silence))
		return ident.Node{}, false
	}
	next := n.bestDeputy(n.leader.noticeSeq)
	return next, !next.IsZero()
}

// probeMembers asks all members to renew when the deputy begins to be silent. Only
// one that answers is named in its place: a leader that is itself cut off must
// not make its deputy's claim void.
func (n *Node) probeMembers(silence time.Duration) {
	l := n.leader
	start := n.timing.probeTimeout
	if silence < start {
		l.probedAt = clock.Never
		n.wake(n.now.Add(start - silence))
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

// indeterminateChoice repeats the choice of the newest unsettled record if that
// deputy is still live.
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

// noDeputyTimeout returns the silence of the deputy after which the leader goes on
// without one. It is short in a cell of two, where nobody else could be named;
// a larger cell is given the time to depose a leader that is cut off.
func (n *Node) noDeputyTimeout() time.Duration {
	for _, m := range n.ledger.state.Members {
		node := m.Member.Node
		if !m.Removed && node != n.self() && node != n.ledger.Deputy() {
			return n.timing.noDeputyTimeout
		}
	}
	return n.timing.claimTimeout + n.timing.retry
}

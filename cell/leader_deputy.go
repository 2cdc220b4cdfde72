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
	deputy, due := n.nextDeputy()
	if !due || !n.mayAppend(KindDeputy) {
		return
	}
	l := n.leader
	nonce := n.nonce()
	n.append(nonce, Record{Deputy: &DeputyChange{
		Nonce:  nonce,
		Base:   n.ledger.state.RolesVersion,
		Leader: n.self(),
		Deputy: deputy,
		Active: l.gate.open,
		State:  State{Term: l.term, Seq: l.table.seq, Grants: l.grants()},
	}})
	n.syncLinks()
}

// nextDeputy returns the deputy to name, which may be none, and whether a
// change is due.
func (n *Node) nextDeputy() (ident.Node, bool) {
	current := n.ledger.Deputy()
	if len(n.appends.deputies) > 0 {
		return n.unsettledChoice(), true
	}
	if current.IsZero() {
		next := n.bestDeputy(0)
		n.out.ReadLog = n.out.ReadLog || !next.IsZero() && !n.logFresh()
		return next, !next.IsZero() && n.logFresh()
	}
	silence := n.deputySilence()
	switch p := n.leader.peer(current); {
	case n.ledger.ended(current):
		return n.bestDeputy(0), true
	case p != nil && p.leaving:
		return n.bestDeputy(0), true
	case silence >= n.soloTimeout():
		return n.bestDeputy(0), true
	}
	n.probe(silence)
	if silence < n.timing.replaceTimeout {
		n.wake(n.now.Add(n.timing.replaceTimeout - silence))
		return ident.Node{}, false
	}
	next := n.bestDeputy(n.leader.leadSeq)
	return next, !next.IsZero()
}

// probe asks all members to renew when the deputy begins to be silent. Only
// one that answers is named in its place: a leader that is itself cut off must
// not make its deputy's claim void.
func (n *Node) probe(silence time.Duration) {
	l := n.leader
	start := n.timing.probeTimeout
	if silence < start {
		l.probed = clock.Never
		n.wake(n.now.Add(start - silence))
		return
	}
	if l.probed != clock.Never {
		return
	}
	l.probed = n.now
	l.leadSeq++
	for _, p := range l.peers {
		if p.node != n.self() && p.confirmed {
			n.sendLead(p)
		}
	}
}

// unsettledChoice repeats the choice of the newest unsettled record if that
// deputy is still live.
func (n *Node) unsettledChoice() ident.Node {
	newest := n.appends.deputies[len(n.appends.deputies)-1].deputy
	if p := n.leader.peer(newest); p != nil && n.live(p) && !p.leaving {
		return newest
	}
	return n.bestDeputy(0)
}

// deputySilence returns the time since the sending of the last heartbeat that
// the deputy answered.
func (n *Node) deputySilence() time.Duration {
	k := n.leader.link(n.ledger.Deputy())
	if k == nil {
		return 0
	}
	return n.now.Sub(max(k.answered, k.since, n.leader.judgeFrom))
}

// soloTimeout returns the silence of the deputy after which the leader goes on
// without one. It is short in a cell of two, where nobody else could be named;
// a larger cell is given the time to depose a leader that is cut off.
func (n *Node) soloTimeout() time.Duration {
	for _, m := range n.ledger.state.Members {
		node := m.Member.Node
		if !m.Gone && node != n.self() && node != n.ledger.Deputy() {
			return n.timing.soloTimeout
		}
	}
	return n.timing.claimTimeout + n.timing.retry
}

package cell

// mayLeave reports whether a leaving member has no role, range or grant left.
func (n *Node) mayLeave(p *peer) bool {
	return p.leaving && p.node != n.ledger.Deputy() && n.leader.table.countOwned(p.node) == 0 && len(p.sentGrants) == 0
}

// runLeaderLeave hands the leadership over to the deputy once the deputy has all
// changes, and completes the planned stop of a leader that is alone.
func (n *Node) runLeaderLeave() {
	l := n.leader
	if !n.leaving {
		return
	}
	deputy := n.ledger.Deputy()
	if deputy.IsZero() {
		n.leaveAlone()
		return
	}
	k := l.link(deputy)
	p := l.peer(deputy)
	if k == nil || len(n.appends.deputyChanges) > 0 || k.ackedRevision < l.revision || p == nil || p.leaving {
		return
	}
	if l.handoverSentAt != 0 && n.now < l.handoverSentAt.Add(n.timing.renew) {
		return
	}
	l.handoverSentAt = n.now
	n.send(deputy, Message{Handover: &Handover{Term: l.term}})
}

// leaveAlone stops a leader without a deputy once all other members have left.
func (n *Node) leaveAlone() {
	l := n.leader
	for _, p := range l.peers {
		if p.node != n.self() && !p.mayStop && n.now.Sub(max(p.lastRenew, l.since)) < n.timing.lease {
			return
		}
	}
	if len(n.heldGrants()) > 0 || len(l.moves) > 0 || len(n.appends.deputyChanges) > 0 {
		return
	}
	if !n.drained() {
		return
	}
	n.stepDown()
	n.left = true
	n.out.Left = true
}

package cell

// mayLeave reports whether a member that leaves has nothing left: no role, no
// range and no grant that it has not confirmed to be without.
func (n *Node) mayLeave(p *peer) bool {
	if !p.leaving || p.node == n.ledger.Deputy() {
		return false
	}
	if n.leader.table.owns(p.node) == 0 {
		return len(p.sent) == 0
	}
	return len(n.candidates()) == 0 && n.ledger.Deputy().IsZero() && n.alone(p)
}

// alone reports whether no other process could ever take the member's ranges.
func (n *Node) alone(p *peer) bool {
	for _, other := range n.leader.peers {
		if other != p && n.ledger.announced(other.node) != nil && !n.ledger.member(other.node.Instance).Gone {
			return false
		}
	}
	return true
}

// runLeaderLeave hands the leadership to the deputy once that is in step, and
// ends the planned stop of a leader that is alone.
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
	if k == nil || len(n.appends.deputies) > 0 || k.heldRev < l.revision || p == nil || p.leaving {
		return
	}
	if l.handoverAt != 0 && n.now < l.handoverAt.Add(n.timing.renew) {
		return
	}
	l.handoverAt = n.now
	n.send(deputy, Message{Handover: &Handover{Term: l.term}})
}

// leaveAlone stops a leader without a deputy when no live member is left that
// could become one.
func (n *Node) leaveAlone() {
	if !n.bestDeputy(0).IsZero() {
		return
	}
	for _, g := range n.heldGrants() {
		n.startRelease(g)
	}
	if len(n.heldGrants()) > 0 || len(n.appends.deputies) > 0 {
		return
	}
	n.stepDown()
	n.left = true
	n.out.Left = true
}

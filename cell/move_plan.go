package cell

import (
	"slices"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// planMoves starts handovers away from members that leave or whose targets are
// not ready, and then towards members that own fewer ranges than others.
func (n *Node) planMoves() {
	l := n.leader
	if n.awaitingMembers() || len(n.appends.deputyChanges) > 0 {
		return
	}
	for _, e := range l.table.entries {
		if len(l.moves) >= maxMoves {
			return
		}
		if !n.mustMove(e) || l.moving(e.grant) || e.seq > l.table.committed {
			continue
		}
		to := n.leastAssigned(e.grant.Owner)
		if to.IsZero() && !n.isLeaving(e.grant.Owner) {
			continue
		}
		n.startMove(e.grant, to)
	}
	if len(l.moves) == 0 {
		n.planCountBalance()
	}
}

// mustMove reports whether the range must be moved away from a running owner.
func (n *Node) mustMove(e entry) bool {
	if e.grant.Owner == n.self() {
		return !n.targetReady || n.leaving
	}
	p := n.leader.peer(e.grant.Owner)
	return p != nil && n.hasLease(p) && (p.notReady || p.leaving)
}

// isLeaving reports whether the process has been asked to stop. Its ranges are
// released even if no other member can own them.
func (n *Node) isLeaving(node ident.Node) bool {
	if node == n.self() {
		return n.leaving
	}
	p := n.leader.peer(node)
	return p != nil && p.leaving
}

// leastAssigned returns the candidate with the fewest ranges other than node. The
// ranges that are being moved to a candidate count as its own.
func (n *Node) leastAssigned(node ident.Node) ident.Node {
	candidates := slices.DeleteFunc(n.candidates(), func(c candidate) bool { return c.node == node })
	if len(candidates) == 0 {
		return ident.Node{}
	}
	for i := range candidates {
		for _, m := range n.leader.moves {
			if m.to == candidates[i].node {
				candidates[i].count++
			}
		}
	}
	return fewestRanges(candidates).node
}

// planCountBalance moves one range from the member with the most ranges to the one
// with the fewest, if the counts differ by two or more.
func (n *Node) planCountBalance() {
	l := n.leader
	candidates := n.candidates()
	if len(candidates) < 2 || n.now.Sub(l.since) < n.timing.lease || n.balancesLoad() {
		return
	}
	if slices.ContainsFunc(l.table.entries, n.ownerUnstable) {
		return
	}
	low := fewestRanges(candidates)
	high := &candidates[0]
	for i := range candidates {
		if candidates[i].count > high.count {
			high = &candidates[i]
		}
	}
	if high.count-low.count < 2 || !n.mayMove() {
		return
	}
	for _, e := range l.table.entries {
		if e.grant.Owner == high.node && e.seq <= l.table.committed && !n.awaitsOldLease(e) {
			n.startMove(e.grant, low.node)
			return
		}
	}
}

// ownerUnstable reports whether the range's owner is missing, has no lease, or
// waits for the assignment to be committed.
func (n *Node) ownerUnstable(e entry) bool {
	if e.grant.Owner == n.self() {
		return false
	}
	p := n.leader.peer(e.grant.Owner)
	return p == nil || !n.hasLease(p) || e.seq > n.leader.table.committed
}

// awaitsOldLease reports whether the owner may not have been granted the range yet
// in this term, because a lease of an older leader may still be in force.
func (n *Node) awaitsOldLease(e entry) bool {
	return e.grant.Token.Term != n.leader.term && n.now < n.leader.activation.oldLeasesEnd
}

// mayMove reports whether another move is within MaxMovesPerMinute.
func (n *Node) mayMove() bool {
	l := n.leader
	l.moveTimes = slices.DeleteFunc(l.moveTimes, func(t clock.Time) bool { return n.now.Sub(t) >= moveWindow })
	limit := n.cfg.Balance.MaxMovesPerMinute
	return limit <= 0 || len(l.moveTimes)+len(l.moves) < limit
}

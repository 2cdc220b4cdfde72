package cell

import (
	"slices"

	"github.com/parsleystack/parsleystack/ident"
)

// candidate is a process that may be granted ranges.
type candidate struct {
	node  ident.Node
	count int // ranges that it owns
}

// reassignRanges assigns unassigned ranges, and those of owners whose leases have
// expired, to the candidates with the fewest ranges, all in one change.
func (n *Node) reassignRanges() {
	l := n.leader
	if n.awaitingMembers() {
		return
	}
	candidates := n.candidates()
	if len(candidates) == 0 {
		return
	}
	var entries []entry
	for _, e := range l.table.entries {
		if !n.reassignable(e.grant.Owner) {
			continue
		}
		c := fewestRanges(candidates)
		c.count++
		g := e.grant
		g.Owner = c.node
		entries = append(entries, entry{grant: g})
	}
	if len(entries) == 0 {
		return
	}
	l.table.change(entries, n.faultEnabled(FaultTokenReuse))
	l.bumpRevision()
	l.moves = slices.DeleteFunc(l.moves, func(m *move) bool {
		return l.table.entry(m.grant.Range) == nil || l.table.entry(m.grant.Range).grant != m.grant
	})
	n.updateCommitted()
}

// awaitingMembers reports whether a first leader still waits for members to answer.
func (n *Node) awaitingMembers() bool {
	l := n.leader
	if l.kind != ClaimFirst || n.now.Sub(l.since) >= n.timing.claimTimeout {
		return false
	}
	return slices.ContainsFunc(l.peers, func(p *peer) bool { return p.node != n.self() && !n.hasLease(p) })
}

// reassignable reports whether the owner's ranges can be granted to others because
// its lease has expired. The leader's own grants do not expire while it leads.
func (n *Node) reassignable(owner ident.Node) bool {
	if owner.IsZero() {
		return true
	}
	if owner == n.self() {
		return false
	}
	l := n.leader
	until := l.activation.oldLeasesEnd
	if p := l.peer(owner); p != nil {
		until = max(until, p.leaseEnd)
		if n.faultEnabled(FaultReassignBeforeExpiry) && p.confirmed {
			until = min(until, p.lastRenew.Add(n.timing.renew))
		}
		if n.reachable(p) {
			return false
		}
	}
	until = until.Add(n.cfg.TargetMargin)
	n.wake(until)
	return n.now >= until && n.now.Sub(max(l.since, l.timeoutsFrom)) >= n.timing.claimTimeout
}

// reachable reports whether messages pass in both directions between the leader
// and a member. Only the leader's own lease can then delay the member's lease.
func (n *Node) reachable(p *peer) bool {
	return p.confirmed && n.ledger.announcedMember(p.node) != nil && !n.ledger.terminated(p.node) &&
		n.now.Sub(p.lastRenew) < n.timing.renew && n.now.Sub(p.seenAt) <= n.timing.claimTimeout
}

// candidates returns the processes that may be granted ranges, sorted by instance.
func (n *Node) candidates() []candidate {
	var list []candidate
	for _, p := range n.leader.peers {
		if n.acceptsRanges(p) {
			list = append(list, candidate{node: p.node, count: n.leader.table.countOwned(p.node)})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return compareNodes(a.node, b.node) })
	return list
}

func (n *Node) acceptsRanges(p *peer) bool {
	if p.node == n.self() {
		return n.targetReady && !n.leaving
	}
	return n.hasLease(p) && !p.notReady && !p.leaving
}

// hasLease reports whether the process follows the term and holds a lease.
func (n *Node) hasLease(p *peer) bool {
	m := n.ledger.announcedMember(p.node)
	return p.confirmed && p.leaseEnd > n.now && m != nil && !n.ledger.terminated(p.node)
}

// fewestRanges returns the candidate with the fewest ranges, the first of equals.
func fewestRanges(candidates []candidate) *candidate {
	best := &candidates[0]
	for i := range candidates {
		if candidates[i].count < best.count {
			best = &candidates[i]
		}
	}
	return best
}

func compareNodes(a, b ident.Node) int {
	switch {
	case a.Instance < b.Instance:
		return -1
	case a.Instance > b.Instance:
		return 1
	case a.Incarnation < b.Incarnation:
		return -1
	case a.Incarnation > b.Incarnation:
		return 1
	}
	return 0
}

// memberChanges returns the members to remove and those to restore.
func (n *Node) memberChanges() (removed, restored []ident.Node) {
	l := n.leader
	vacancies := MaxMembers - len(n.ledger.Members())
	for _, p := range l.peers {
		m := n.ledger.member(p.node.Instance)
		if m == nil || m.Member.Node != p.node || p.node == n.self() || p.node == n.ledger.Deputy() {
			continue
		}
		idle := l.table.countOwned(p.node) == 0
		timedOut := n.now.Sub(max(p.lastRenew, l.since, l.timeoutsFrom)) >= n.timing.removalTimeout
		switch {
		case !m.Removed && idle && (timedOut || p.leaving && p.leaseEnd <= n.now):
			removed = append(removed, p.node)
		case m.Removed && !timedOut && !p.leaving && n.hasLease(p) && len(restored) < vacancies:
			restored = append(restored, p.node)
		}
	}
	slices.SortFunc(removed, compareNodes)
	slices.SortFunc(restored, compareNodes)
	return removed, restored
}

// updateProposedDeputy replaces the proposed deputy if it cannot be the deputy any more.
func (n *Node) updateProposedDeputy() {
	l := n.leader
	if p := l.peer(l.proposedDeputy); p != nil && n.canBeDeputy(p, 0) {
		return
	}
	next := n.bestDeputy(0)
	if next == l.proposedDeputy {
		return
	}
	l.proposedDeputy = next
	l.bumpRevision()
}

// canBeDeputy reports whether the process can become the deputy: it has a lease, is
// not leaving, is not the deputy already, and has answered the LeaderNotice with
// number minNotice or a later one.
func (n *Node) canBeDeputy(p *peer, minNotice uint32) bool {
	return p.node != n.self() && p.node != n.ledger.Deputy() && n.hasLease(p) && !p.leaving && p.noticeSeq >= minNotice
}

// bestDeputy returns a member that can become the deputy, preferably of another
// zone than this process, or zero. For minNotice see canBeDeputy.
func (n *Node) bestDeputy(minNotice uint32) ident.Node {
	var best *peer
	for _, p := range n.leader.peers {
		if !n.canBeDeputy(p, minNotice) {
			continue
		}
		if best == nil || n.preferDeputy(p, best) {
			best = p
		}
	}
	if best == nil {
		return ident.Node{}
	}
	return best.node
}

func (n *Node) preferDeputy(a, b *peer) bool {
	otherZoneA := a.member.Zone != n.cfg.Self.Zone
	otherZoneB := b.member.Zone != n.cfg.Self.Zone
	if otherZoneA != otherZoneB {
		return otherZoneA
	}
	return compareNodes(a.node, b.node) < 0
}

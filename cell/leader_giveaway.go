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

// giveAway grants the ranges of lapsed owners, and those that wait, to the
// candidates with the fewest ranges. All of them make one change.
func (n *Node) giveAway() {
	l := n.leader
	if n.settling() {
		return
	}
	candidates := n.candidates()
	if len(candidates) == 0 {
		return
	}
	var entries []entry
	for _, e := range l.table.entries {
		if !n.free(e.grant.Owner) {
			continue
		}
		c := fewest(candidates)
		c.count++
		g := e.grant
		g.Owner = c.node
		entries = append(entries, entry{grant: g})
	}
	if len(entries) == 0 {
		return
	}
	l.table.change(entries, n.broken(FaultTokenReuse))
	l.changed()
	l.moves = slices.DeleteFunc(l.moves, func(m *move) bool {
		return l.table.entry(m.grant.Range) == nil || l.table.entry(m.grant.Range).grant != m.grant
	})
	n.updateStanding()
}

// settling reports whether a first leader still waits for members to answer.
func (n *Node) settling() bool {
	l := n.leader
	if l.kind != ClaimFirst || n.now.Sub(l.since) >= n.timing.claimTimeout {
		return false
	}
	return slices.ContainsFunc(l.peers, func(p *peer) bool { return p.node != n.self() && !n.live(p) })
}

// free reports whether nobody holds the ranges of the owner any more. The
// leader's own grants never lapse while it leads.
func (n *Node) free(owner ident.Node) bool {
	if owner.IsZero() {
		return true
	}
	if owner == n.self() {
		return false
	}
	l := n.leader
	until := l.gate.silentUntil
	if p := l.peer(owner); p != nil {
		until = max(until, p.lapse)
		if n.broken(FaultReassignBeforeExpiry) && p.confirmed {
			until = min(until, p.renewed.Add(n.timing.renew))
		}
		if n.reachable(p) {
			return false
		}
	}
	until = until.Add(n.cfg.TargetMargin)
	n.wake(until)
	return n.now >= until && n.now.Sub(max(l.since, l.judgeFrom)) >= n.timing.claimTimeout
}

// reachable reports whether messages pass in both directions between the
// leader and a member. Its lease then only waits for the leader's authority.
func (n *Node) reachable(p *peer) bool {
	return p.confirmed && n.ledger.announced(p.node) != nil && !n.ledger.ended(p.node) &&
		n.now.Sub(p.renewed) < n.timing.renew && n.now.Sub(p.seenAt) <= n.timing.claimTimeout
}

// candidates returns the processes that may be granted ranges, in the order of
// the peers.
func (n *Node) candidates() []candidate {
	var list []candidate
	for _, p := range n.leader.peers {
		if n.takesRanges(p) {
			list = append(list, candidate{node: p.node, count: n.leader.table.owns(p.node)})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int { return compareNodes(a.node, b.node) })
	return list
}

func (n *Node) takesRanges(p *peer) bool {
	if p.node == n.self() {
		return n.ready && !n.leaving
	}
	return n.live(p) && !p.notReady && !p.leaving
}

// live reports whether the process follows the term and holds a lease.
func (n *Node) live(p *peer) bool {
	m := n.ledger.announced(p.node)
	return p.confirmed && p.lapse > n.now && m != nil && !n.ledger.ended(p.node)
}

// fewest returns the candidate with the fewest ranges, the first of equals.
func fewest(candidates []candidate) *candidate {
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

// memberChanges returns the members to give up and those to take back.
func (n *Node) memberChanges() (gone, back []ident.Node) {
	l := n.leader
	room := MaxMembers - len(n.ledger.Members())
	for _, p := range l.peers {
		m := n.ledger.member(p.node.Instance)
		if m == nil || m.Member.Node != p.node || p.node == n.self() || p.node == n.ledger.Deputy() {
			continue
		}
		idle := l.table.owns(p.node) == 0
		silent := n.now.Sub(max(p.renewed, l.since, l.judgeFrom)) >= n.timing.gone
		switch {
		case !m.Gone && idle && (silent || p.leaving && p.lapse <= n.now):
			gone = append(gone, p.node)
		case m.Gone && !silent && !p.leaving && n.live(p) && len(back) < room:
			back = append(back, p.node)
		}
	}
	slices.SortFunc(gone, compareNodes)
	slices.SortFunc(back, compareNodes)
	return gone, back
}

// proposeNext keeps the deputy that is proposed for a takeover up to date.
func (n *Node) proposeNext() {
	l := n.leader
	if p := l.peer(l.next); p != nil && n.mayDeputize(p, 0) {
		return
	}
	next := n.bestDeputy(0)
	if next == l.next {
		return
	}
	l.next = next
	l.changed()
}

// mayDeputize reports whether the process can be the deputy: it has answered
// the Lead of that number, stays, and is not the deputy already.
func (n *Node) mayDeputize(p *peer, lead uint32) bool {
	return p.node != n.self() && p.node != n.ledger.Deputy() && n.live(p) && !p.leaving && p.lead >= lead
}

// bestDeputy returns a member that can be the deputy, of another zone if there
// is one, or zero.
func (n *Node) bestDeputy(lead uint32) ident.Node {
	var best *peer
	for _, p := range n.leader.peers {
		if !n.mayDeputize(p, lead) {
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
	awayA := a.member.Zone != n.cfg.Self.Zone
	awayB := b.member.Zone != n.cfg.Self.Zone
	if awayA != awayB {
		return awayA
	}
	return compareNodes(a.node, b.node) < 0
}

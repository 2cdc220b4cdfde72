package cell

import (
	"slices"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// activation holds a new leader back until no leader of an older term can have
// leases in force that the new one does not account for.
type activation struct {
	active bool
	// formerPairs lists the pairs that must be known to have stopped.
	formerPairs    []Pair
	pairsStoppedAt clock.Time // when the last of them was known to have stopped
	// report is the newest state that a process of those pairs has sent, if
	// that is newer than what the term started with.
	report *State
	// oldLeasesEnd is the time up to which a member that has not confirmed its
	// grants may hold them under the old leader.
	oldLeasesEnd clock.Time
}

// newActivation returns the gate of the claim. It is open at once for a first claim,
// and for the claim of a deputy whose leader was the only one that could grant:
// that leader's leases end with the deputy's last pledge.
func (n *Node) newActivation(c *Claim, d deputy) activation {
	g := activation{formerPairs: slices.Clone(n.ledger.state.FormerPairs)}
	switch {
	case c.Kind == ClaimFirst, n.faultEnabled(FaultRecoverKeepsRanges) && c.Kind == ClaimRecovery:
		g.active = true
	case c.Kind != ClaimRecovery && len(g.formerPairs) == 1 && g.formerPairs[0].Deputy == n.self():
		g.active = true
		g.oldLeasesEnd = d.lastExtension.Add(n.timing.plusDrift(n.timing.lease))
	}
	if n.faultEnabled(FaultTakeoverWithoutWait) {
		g.oldLeasesEnd = clock.Never
	}
	return g
}

// activate opens the gate one lease after all older pairs are known to have
// stopped. No leader grants leases for longer than the blind limit without
// reading the claim.
func (n *Node) activate() {
	l := n.leader
	if l.activation.active {
		return
	}
	if l.activation.pairsStoppedAt == clock.Never && n.pairsStopped() {
		l.activation.pairsStoppedAt = n.now
	}
	lease := n.timing.plusDrift(n.timing.lease) + n.cfg.TargetMargin
	blind := l.since.Add(n.timing.plusDrift(n.timing.maxLogStaleness)).Add(lease)
	opens := blind
	if l.activation.pairsStoppedAt != clock.Never {
		opens = min(blind, l.activation.pairsStoppedAt.Add(lease))
	}
	if n.now < opens {
		n.wake(opens)
		return
	}
	l.activation.active = true
	n.renewTokens()
	l.bumpRevision()
}

// renewTokens gives all grants new tokens when the gate opens: the old pair may
// have granted ranges with tokens that this leader does not know.
func (n *Node) renewTokens() {
	l := n.leader
	if l.activation.report != nil && covers(l.activation.report.Grants, n.cfg.Span) {
		l.table.carryOver(l.activation.report.Grants)
	}
	l.table.change(slices.Clone(l.table.entries), n.faultEnabled(FaultTokenReuse))
}

// recordReport keeps a state that a process of a pending pair has sent.
func (g *activation) recordReport(from ident.Node, report *State) {
	if report == nil || g.active || g.report != nil && !g.report.older(*report) {
		return
	}
	for _, p := range g.formerPairs {
		if (p.Leader == from || p.Deputy == from) && p.Term == report.Term && p.Seq < report.Seq {
			g.report = report
			return
		}
	}
}

func (n *Node) pairsStopped() bool {
	for _, p := range n.leader.activation.formerPairs {
		if !n.stopped(p.Leader) && !n.stopped(p.Deputy) {
			return false
		}
	}
	return true
}

// stopped reports whether the process is known to act for no older term: it
// follows this one, has ended, or is this process itself.
func (n *Node) stopped(node ident.Node) bool {
	if node.IsZero() {
		return false
	}
	if node == n.self() || n.ledger.terminated(node) {
		return true
	}
	p := n.leader.peer(node)
	return p != nil && p.confirmed
}

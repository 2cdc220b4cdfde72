package cell

import (
	"slices"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// gate holds a new leader back until no leader of an older term can have
// leases in force that the new one does not account for.
type gate struct {
	open bool
	// pending lists the pairs that must be known to have stopped.
	pending  []Pair
	resolved clock.Time // when the last of them was known to have stopped
	// report is the newest state that a process of those pairs has sent, if
	// that is newer than what the term started with.
	report *State
	// silentUntil is the time up to which a member that has not confirmed its
	// grants may hold them under the old leader.
	silentUntil clock.Time
}

// newGate returns the gate of the claim. It is open at once for a first claim,
// and for the claim of a deputy whose leader was the only one that could grant:
// that leader's leases end with the deputy's last pledge.
func (n *Node) newGate(c *Claim, d deputy) gate {
	g := gate{pending: slices.Clone(n.ledger.state.Pending)}
	switch {
	case c.Kind == ClaimFirst, n.broken(FaultRecoverKeepsRanges) && c.Kind == ClaimRecovery:
		g.open = true
	case c.Kind != ClaimRecovery && len(g.pending) == 1 && g.pending[0].Deputy == n.self():
		g.open = true
		g.silentUntil = d.lastPledge.Add(n.timing.longer(n.timing.lease))
	}
	if n.broken(FaultTakeoverWithoutWait) {
		g.silentUntil = clock.Never
	}
	return g
}

// openGate opens the gate one lease after all older pairs are known to have
// stopped. No leader grants leases for longer than the blind limit without
// reading the claim.
func (n *Node) openGate() {
	l := n.leader
	if l.gate.open {
		return
	}
	if l.gate.resolved == clock.Never && n.pairsStopped() {
		l.gate.resolved = n.now
	}
	lease := n.timing.longer(n.timing.lease) + n.cfg.TargetMargin
	blind := l.since.Add(n.timing.longer(n.timing.blind)).Add(lease)
	opens := blind
	if l.gate.resolved != clock.Never {
		opens = min(blind, l.gate.resolved.Add(lease))
	}
	if n.now < opens {
		n.wake(opens)
		return
	}
	l.gate.open = true
	n.renewTokens()
	l.changed()
}

// renewTokens gives all grants new tokens when the gate opens: the old pair may
// have granted ranges with tokens that this leader does not know.
func (n *Node) renewTokens() {
	l := n.leader
	if l.gate.report != nil && covers(l.gate.report.Grants, n.cfg.Span) {
		l.table.carryOver(l.gate.report.Grants)
	}
	l.table.change(slices.Clone(l.table.entries), n.broken(FaultTokenReuse))
}

// noteReport keeps a state that a process of a pending pair has sent.
func (g *gate) noteReport(from ident.Node, report *State) {
	if report == nil || g.open || g.report != nil && !g.report.older(*report) {
		return
	}
	for _, p := range g.pending {
		if (p.Leader == from || p.Deputy == from) && p.Term == report.Term && p.Seq < report.Seq {
			g.report = report
			return
		}
	}
}

func (n *Node) pairsStopped() bool {
	for _, p := range n.leader.gate.pending {
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
	if node == n.self() || n.ledger.ended(node) {
		return true
	}
	p := n.leader.peer(node)
	return p != nil && p.confirmed
}

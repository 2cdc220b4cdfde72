package cell

import (
	"slices"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// activation delays the grants of a new leader until leases of older terms of which
// it has no record cannot be in force any more.
type activation struct {
	active bool
	// formerPairs lists the leaders and deputies of older terms that may be active.
	formerPairs    []Pair
	pairsStoppedAt clock.Time // when all of them were first known to have stopped
	// report is the newest state reported by a process of those pairs, if it is
	// newer than the initial state of the term.
	report *State
	// oldLeasesEnd is the time until which a member that has not confirmed its
	// grants may hold them under a lease of the old leader.
	oldLeasesEnd clock.Time
}

// newActivation returns the activation after the claim. The leader is active
// immediately after a first claim, and after the claim of a deputy whose leader was
// the only one that could grant leases: those leases end with the deputy's last
// extension of that leader's lease.
func (n *Node) newActivation(c *Claim, d deputy) activation {
	a := activation{formerPairs: slices.Clone(n.ledger.state.FormerPairs)}
	switch {
	case c.Kind == ClaimFirst, n.faultEnabled(FaultRecoverKeepsRanges) && c.Kind == ClaimRecovery:
		a.active = true
	case c.Kind != ClaimRecovery && len(a.formerPairs) == 1 && a.formerPairs[0].Deputy == n.self():
		a.active = true
		a.oldLeasesEnd = d.lastExtension.Add(n.timing.plusDrift(n.timing.lease))
	}
	if n.faultEnabled(FaultTakeoverWithoutWait) {
		a.oldLeasesEnd = clock.Never
	}
	return a
}

// activate makes the leader active one lease duration after all former pairs are
// known to have stopped. Otherwise it waits for the maximum staleness of the log
// and one lease duration: no leader grants leases for longer than that without
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
	latest := l.since.Add(n.timing.plusDrift(n.timing.maxLogStaleness)).Add(lease)
	activeAt := latest
	if l.activation.pairsStoppedAt != clock.Never {
		activeAt = min(latest, l.activation.pairsStoppedAt.Add(lease))
	}
	if n.now < activeAt {
		n.wake(activeAt)
		return
	}
	l.activation.active = true
	n.renewTokens()
	l.bumpRevision()
}

// renewTokens assigns new tokens to all grants on activation: the former pair may
// have granted ranges with tokens that this leader has not seen.
func (n *Node) renewTokens() {
	l := n.leader
	if l.activation.report != nil && covers(l.activation.report.Grants, n.cfg.Span) {
		l.table.carryOver(l.activation.report.Grants)
	}
	l.table.change(slices.Clone(l.table.entries), n.faultEnabled(FaultTokenReuse))
}

// recordReport keeps a state reported by a process of a former pair.
func (a *activation) recordReport(from ident.Node, report *State) {
	if report == nil || a.active || a.report != nil && !a.report.older(*report) {
		return
	}
	for _, p := range a.formerPairs {
		if (p.Leader == from || p.Deputy == from) && p.Term == report.Term && p.Seq < report.Seq {
			a.report = report
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

// stopped reports whether the process is known not to act for an older term: it
// follows this term, has exited, or is this process.
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

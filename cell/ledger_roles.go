package cell

import (
	"fmt"
	"slices"

	"github.com/parsleystack/parsleystack/ident"
)

func (l *Ledger) applyClaim(offset uint64, c *Claim) ApplyResult {
	if c.ExpectedVersion != l.state.RolesVersion && !l.acceptAnyVersion {
		return rejected(fmt.Sprintf("its expected version %d is not the current one, %d", c.ExpectedVersion, l.state.RolesVersion))
	}
	if c.Candidate.IsZero() || c.Candidate == c.Deputy {
		return rejected("it names no candidate, or the candidate as its own deputy")
	}
	if reason := l.checkClaimKind(c); reason != "" {
		return rejected(reason)
	}
	if !covers(c.State.Grants, l.span) {
		return rejected("its assignments do not cover the span of the cell")
	}
	audit := l.roleAudit(c)
	l.carriedSeq = l.state.Seq
	if c.Kind == ClaimFirst || c.State.Term == l.state.Term && c.State.Seq >= l.state.Seq {
		audit = append(audit, l.grantAudit(c.State.Grants)...)
		l.state.Grants = c.State.Grants
		l.carriedSeq = c.State.Seq
	}
	l.recordPair(c)
	l.state.Term = offset
	l.state.RolesVersion = offset
	l.state.Seq = 0
	l.state.Leader = c.Candidate
	l.state.Deputy = c.Deputy
	l.state.Intents = nil
	return accepted(audit...)
}

// checkClaimKind returns why a claim of this kind must be rejected, or "".
func (l *Ledger) checkClaimKind(c *Claim) string {
	switch c.Kind {
	case ClaimFirst:
		if l.state.RolesVersion != 0 {
			return "the stream already contains a claim"
		}
	case ClaimTakeover, ClaimHandover:
		if l.state.Deputy.IsZero() || c.Candidate != l.state.Deputy {
			return "its candidate is not the deputy"
		}
	case ClaimRecovery:
		if l.state.RolesVersion == 0 {
			return "there is nothing to recover"
		}
		if !slices.Contains(l.state.Intents, c.Candidate) {
			return "its candidate has no intent, or an objection cancelled it"
		}
	default:
		return "its kind is unknown"
	}
	return ""
}

// recordPair keeps the leader and deputy that the claim replaces until the
// stream shows that the new leader is active.
func (l *Ledger) recordPair(c *Claim) {
	if c.Kind == ClaimFirst {
		l.state.FormerPairs = nil
		return
	}
	if c.Active && c.Kind != ClaimRecovery {
		l.state.FormerPairs = nil
	}
	pair := Pair{Leader: l.state.Leader, Deputy: l.state.Deputy, Term: l.state.Term, Seq: l.carriedSeq}
	l.state.FormerPairs = append(slices.Clone(l.state.FormerPairs), pair)
}

func (l *Ledger) roleAudit(c *Claim) []AuditEntry {
	reason := map[ClaimKind]string{
		ClaimFirst:    "first claim of the stream",
		ClaimTakeover: "takeover by the deputy",
		ClaimHandover: "handover to the deputy",
		ClaimRecovery: "recovery",
	}[c.Kind]
	audit := []AuditEntry{
		{Kind: AuditLeader, Node: c.Candidate, Reason: reason},
		{Kind: AuditDeputy, Node: c.Deputy, Reason: reason},
	}
	if c.Kind == ClaimRecovery {
		audit = append(audit, AuditEntry{Kind: AuditRecovered, Node: c.Candidate, Reason: "leader and deputy were lost"})
	}
	return audit
}

func (l *Ledger) applyDeputy(offset uint64, d *DeputyChange) ApplyResult {
	if d.ExpectedVersion != l.state.RolesVersion {
		return rejected(fmt.Sprintf("its expected version %d is not the current one, %d", d.ExpectedVersion, l.state.RolesVersion))
	}
	if d.Leader.IsZero() || d.Leader != l.state.Leader {
		return rejected("its leader is not the leader of the term")
	}
	if d.Deputy == d.Leader {
		return rejected("it names the leader as its own deputy")
	}
	if !covers(d.State.Grants, l.span) {
		return rejected("its assignments do not cover the span of the cell")
	}
	audit := []AuditEntry{{Kind: AuditDeputy, Node: d.Deputy, Reason: "named by the leader"}}
	if d.State.Term == l.state.Term && d.State.Seq >= l.state.Seq {
		audit = append(audit, l.grantAudit(d.State.Grants)...)
		l.state.Grants = d.State.Grants
		l.state.Seq = d.State.Seq
	}
	if d.Active {
		l.state.FormerPairs = nil
	}
	l.state.RolesVersion = offset
	l.state.Deputy = d.Deputy
	l.state.Intents = nil
	return accepted(audit...)
}

func (l *Ledger) applyIntent(i *Intent) ApplyResult {
	if i.ExpectedVersion != l.state.RolesVersion || i.ExpectedVersion == 0 {
		return rejected(fmt.Sprintf("its expected version %d is not the current one, %d", i.ExpectedVersion, l.state.RolesVersion))
	}
	if l.announcedMember(i.Candidate) == nil {
		return rejected("its candidate is not announced")
	}
	if !slices.Contains(l.state.Intents, i.Candidate) {
		l.state.Intents = append(slices.Clone(l.state.Intents), i.Candidate)
	}
	return accepted()
}

func (l *Ledger) applyObjection(o *Objection) ApplyResult {
	if o.ExpectedVersion != l.state.RolesVersion || o.ExpectedVersion == 0 {
		return rejected(fmt.Sprintf("its expected version %d is not the current one, %d", o.ExpectedVersion, l.state.RolesVersion))
	}
	if o.Sender.IsZero() || o.Sender != l.state.Leader && o.Sender != l.state.Deputy {
		return rejected("its sender is neither leader nor deputy")
	}
	l.state.Intents = nil
	return accepted()
}

func (l *Ledger) applyLoss(x *Loss) ApplyResult {
	if !l.isOrWasMember(x.Node) {
		return rejected("the process never was a member of the cell")
	}
	if !slices.Contains(l.state.Lost, x.Node) {
		l.state.Lost = append(slices.Clone(l.state.Lost), x.Node)
	}
	return accepted(AuditEntry{Kind: AuditLost, Node: x.Node, Reason: "confirmed by operator " + x.Operator})
}

// isOrWasMember reports whether the process is or was a member.
func (l *Ledger) isOrWasMember(node ident.Node) bool {
	m := l.member(node.Instance)
	return m != nil && node.Incarnation <= m.Member.Node.Incarnation
}

package cell

import (
	"fmt"
	"slices"

	"github.com/parsleystack/parsleystack/ident"
)

func (l *Ledger) applyClaim(offset uint64, c *Claim) ApplyResult {
	if c.Base != l.state.RolesVersion && !l.anyBase {
		return void(fmt.Sprintf("its base %d is not the present one, %d", c.Base, l.state.RolesVersion))
	}
	if c.Candidate.IsZero() || c.Candidate == c.Deputy {
		return void("it names no candidate, or the candidate as its own deputy")
	}
	if reason := l.checkClaimKind(c); reason != "" {
		return void(reason)
	}
	if !covers(c.State.Grants, l.span) {
		return void("its assignments do not cover the span of the cell")
	}
	audit := l.roleAudit(c)
	l.carried = l.state.Seq
	if c.Kind == ClaimFirst || c.State.Term == l.state.Term && c.State.Seq >= l.state.Seq {
		audit = append(audit, l.grantAudit(c.State.Grants)...)
		l.state.Grants = c.State.Grants
		l.carried = c.State.Seq
	}
	l.notePair(c)
	l.state.Term = offset
	l.state.RolesVersion = offset
	l.state.Seq = 0
	l.state.Leader = c.Candidate
	l.state.Deputy = c.Deputy
	l.state.Intents = nil
	return valid(audit...)
}

// checkClaimKind returns why the claim is void by its kind, or "".
func (l *Ledger) checkClaimKind(c *Claim) string {
	switch c.Kind {
	case ClaimFirst:
		if l.state.RolesVersion != 0 {
			return "the stream holds a claim already"
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
			return "its candidate has no intent that is free of objection"
		}
	default:
		return "its kind is unknown"
	}
	return ""
}

// notePair keeps the pair that the claim replaces until the stream shows that
// the new leader has taken up work.
func (l *Ledger) notePair(c *Claim) {
	if c.Kind == ClaimFirst {
		l.state.Pending = nil
		return
	}
	if c.Active && c.Kind != ClaimRecovery {
		l.state.Pending = nil
	}
	pair := Pair{Leader: l.state.Leader, Deputy: l.state.Deputy, Term: l.state.Term, Seq: l.carried}
	l.state.Pending = append(slices.Clone(l.state.Pending), pair)
}

func (l *Ledger) roleAudit(c *Claim) []AuditEntry {
	reason := map[ClaimKind]string{
		ClaimFirst:    "first claim of the stream",
		ClaimTakeover: "takeover by the deputy",
		ClaimHandover: "hand-over to the deputy",
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
	if d.Base != l.state.RolesVersion {
		return void(fmt.Sprintf("its base %d is not the present one, %d", d.Base, l.state.RolesVersion))
	}
	if d.Leader.IsZero() || d.Leader != l.state.Leader {
		return void("its leader does not lead the term")
	}
	if d.Deputy == d.Leader {
		return void("it names the leader as its own deputy")
	}
	if !covers(d.State.Grants, l.span) {
		return void("its assignments do not cover the span of the cell")
	}
	audit := []AuditEntry{{Kind: AuditDeputy, Node: d.Deputy, Reason: "named by the leader"}}
	if d.State.Term == l.state.Term && d.State.Seq >= l.state.Seq {
		audit = append(audit, l.grantAudit(d.State.Grants)...)
		l.state.Grants = d.State.Grants
		l.state.Seq = d.State.Seq
	}
	if d.Active {
		l.state.Pending = nil
	}
	l.state.RolesVersion = offset
	l.state.Deputy = d.Deputy
	l.state.Intents = nil
	return valid(audit...)
}

func (l *Ledger) applyIntent(i *Intent) ApplyResult {
	if i.Base != l.state.RolesVersion || i.Base == 0 {
		return void(fmt.Sprintf("its base %d is not the present one, %d", i.Base, l.state.RolesVersion))
	}
	if l.announced(i.Candidate) == nil {
		return void("its candidate is not announced")
	}
	if !slices.Contains(l.state.Intents, i.Candidate) {
		l.state.Intents = append(slices.Clone(l.state.Intents), i.Candidate)
	}
	return valid()
}

func (l *Ledger) applyObjection(o *Objection) ApplyResult {
	if o.Base != l.state.RolesVersion || o.Base == 0 {
		return void(fmt.Sprintf("its base %d is not the present one, %d", o.Base, l.state.RolesVersion))
	}
	if o.Sender.IsZero() || o.Sender != l.state.Leader && o.Sender != l.state.Deputy {
		return void("its sender is neither leader nor deputy")
	}
	l.state.Intents = nil
	return valid()
}

func (l *Ledger) applyLoss(x *Loss) ApplyResult {
	if !l.known(x.Node) {
		return void("the process is not known to the cell")
	}
	if !slices.Contains(l.state.Lost, x.Node) {
		l.state.Lost = append(slices.Clone(l.state.Lost), x.Node)
	}
	return valid(AuditEntry{Kind: AuditLost, Node: x.Node, Reason: "confirmed by operator " + x.Operator})
}

// known reports whether the process is or was a member.
func (l *Ledger) known(node ident.Node) bool {
	m := l.member(node.Instance)
	return m != nil && node.Incarnation <= m.Member.Node.Incarnation
}

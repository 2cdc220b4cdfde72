package cell

import (
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// recovery is the state of a member for starting a term without a deputy's claim:
// the first term, and a term after the failure of leader and deputy.
type recovery struct {
	firstClaimAt    clock.Time // when a first claim is due
	intentAppliedAt clock.Time // when this process's intent was applied
	notBefore       clock.Time // no intent before this time
	jitter          time.Duration
	losses          []ConfirmLoss // operator confirmations that are not in the log yet
}

// runLosses appends the operators' confirmations to the log.
func (n *Node) runLosses() {
	r := &n.recovery
	r.losses = slices.DeleteFunc(r.losses, func(c ConfirmLoss) bool {
		return slices.Contains(n.ledger.state.Lost, c.Node)
	})
	if len(r.losses) == 0 || !n.mayAppend(KindLoss) {
		return
	}
	if !n.ledger.isOrWasMember(r.losses[0].Node) {
		r.losses = r.losses[1:]
		return
	}
	nonce := n.newNonce()
	n.append(nonce, Record{Loss: &Loss{Nonce: nonce, Node: r.losses[0].Node, Operator: r.losses[0].Operator}})
}

// runRecovery appends an intent and then a recovery claim if leader and deputy
// do not respond while the log can be read.
func (n *Node) runRecovery() {
	r := &n.recovery
	if n.ledger.state.RolesVersion == 0 || n.leader != nil || n.ledger.announcedMember(n.self()) == nil {
		return
	}
	if n.follower.lastContact == clock.Never {
		n.follower.lastContact = n.now
	}
	if n.now.Sub(n.follower.lastContact) < n.recoveryTimeout() || n.now < r.notBefore || n.leaving {
		return
	}
	if !n.logFresh() {
		n.out.ReadLog = true
		return
	}
	if !slices.Contains(n.ledger.state.Intents, n.self()) {
		n.appendIntent()
		return
	}
	if r.intentAppliedAt == clock.Never || n.now.Sub(r.intentAppliedAt) < n.timing.objectionPeriod || !n.mayAppend(KindClaim) {
		return
	}
	nonce := n.newNonce()
	n.append(nonce, Record{Claim: &Claim{
		Nonce:           nonce,
		ExpectedVersion: n.ledger.state.RolesVersion,
		Kind:            ClaimRecovery,
		Candidate:       n.self(),
		Deputy:          n.proposeDeputy(),
		State:           n.deputyState(),
	}})
}

// recoveryTimeout is shorter if the stream shows that both leader and deputy
// have exited.
func (n *Node) recoveryTimeout() time.Duration {
	terminated := n.ledger.terminated(n.ledger.Leader())
	if deputy := n.ledger.Deputy(); !deputy.IsZero() {
		terminated = terminated && n.ledger.terminated(deputy)
	}
	if terminated {
		return n.timing.renew + n.recovery.jitter
	}
	return n.timing.recoveryTimeout + n.recovery.jitter
}

func (n *Node) appendIntent() {
	if !n.mayAppend(KindIntent) {
		return
	}
	nonce := n.newNonce()
	n.append(nonce, Record{Intent: &Intent{Nonce: nonce, ExpectedVersion: n.ledger.state.RolesVersion, Candidate: n.self()}})
}

// onIntentApplied objects to a recovery if this process is an active leader or deputy.
func (n *Node) onIntentApplied(i *Intent) {
	if i.Candidate == n.self() {
		n.recovery.intentAppliedAt = n.now
		return
	}
	if !n.pairActive() || !n.mayAppend(KindObjection) {
		return
	}
	nonce := n.newNonce()
	n.append(nonce, Record{Objection: &Objection{Nonce: nonce, ExpectedVersion: n.ledger.state.RolesVersion, Sender: n.self()}})
}

// pairActive reports whether leader and deputy of the ledger's term exchange
// messages, as seen by this process as one of them.
func (n *Node) pairActive() bool {
	if n.leader != nil {
		return n.leader.leaderLeaseEnd > n.now
	}
	return n.deputy.named && n.now.Sub(n.deputy.lastConfirmed) < n.timing.claimTimeout
}

// onClaimApplied reacts to a valid claim.
func (n *Node) onClaimApplied(c *Claim, before LedgerState) {
	n.recovery.intentAppliedAt = clock.Never
	n.follower.lastContact = n.now
	known := n.provisionalBefore(before)
	wasDeputy := n.deputy
	n.saveReport()
	n.stepDown()
	n.deputy = deputy{lastExtension: n.deputy.lastExtension}
	switch {
	case c.Candidate == n.self() && n.follower.term > n.ledger.Term():
		// A newer leader is followed already.
	case c.Candidate == n.self():
		n.becomeLeader(c, known, wasDeputy)
	case c.Deputy == n.self():
		n.becomeDeputy()
	}
	n.keepOldRole(c)
}

// keepOldRole injects FaultKeepRoleAfterRestart: a process must not hold grants of
// an older incarnation of its instance.
func (n *Node) keepOldRole(c *Claim) {
	if !n.faultEnabled(FaultKeepRoleAfterRestart) || c.Candidate == n.self() || c.Candidate.Instance != n.self().Instance {
		return
	}
	for _, g := range n.ledger.state.Grants {
		if g.Owner == c.Candidate {
			g.Owner = n.self()
			n.follower.grants = append(n.follower.grants, g)
		}
	}
	n.follower.expires = n.now.Add(n.timing.lease)
}

// provisionalBefore returns the assignments that this process had as deputy before
// a claim, if they are newer than the initial ones of the new term.
func (n *Node) provisionalBefore(before LedgerState) []Grant {
	d := &n.deputy
	if d.term != before.Term || before.Term == 0 || d.seq <= n.ledger.carriedSeq {
		return nil
	}
	if n.faultEnabled(FaultForgetProvisional) {
		return nil
	}
	return d.grants
}

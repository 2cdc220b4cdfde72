package cell

import (
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// recovery is a member's part in the start of a term that no deputy claims:
// the first one, and those after the loss of leader and deputy.
type recovery struct {
	firstClaim clock.Time // when a first claim is due
	intended   clock.Time // when this process's intent was read
	heldOff    clock.Time // no intent before this time
	jitter     time.Duration
	losses     []ConfirmLoss // operator confirmations that are not in the log yet
}

// runLosses writes the confirmations of operators to the log.
func (n *Node) runLosses() {
	r := &n.recovery
	r.losses = slices.DeleteFunc(r.losses, func(c ConfirmLoss) bool {
		return slices.Contains(n.ledger.state.Lost, c.Node)
	})
	if len(r.losses) == 0 || !n.mayAppend(KindLoss) {
		return
	}
	if !n.ledger.known(r.losses[0].Node) {
		r.losses = r.losses[1:]
		return
	}
	nonce := n.nonce()
	n.append(nonce, Record{Loss: &Loss{Nonce: nonce, Node: r.losses[0].Node, Operator: r.losses[0].Operator}})
}

// runRecovery announces and makes a recovery claim if leader and deputy are
// silent while the log works.
func (n *Node) runRecovery() {
	r := &n.recovery
	if n.ledger.state.RolesVersion == 0 || n.leader != nil || n.ledger.announced(n.self()) == nil {
		return
	}
	if n.follower.heard == clock.Never {
		n.follower.heard = n.now
	}
	if n.now.Sub(n.follower.heard) < n.recoveryTimeout() || n.now < r.heldOff || n.leaving {
		return
	}
	if !n.logFresh() {
		n.out.ReadLog = true
		return
	}
	if !slices.Contains(n.ledger.state.Intents, n.self()) {
		n.intend()
		return
	}
	if r.intended == clock.Never || n.now.Sub(r.intended) < n.timing.objection || !n.mayAppend(KindClaim) {
		return
	}
	nonce := n.nonce()
	n.append(nonce, Record{Claim: &Claim{
		Nonce:     nonce,
		Base:      n.ledger.state.RolesVersion,
		Kind:      ClaimRecovery,
		Candidate: n.self(),
		Deputy:    n.proposeDeputy(),
		State:     n.deputyState(),
	}})
}

// recoveryTimeout is shorter if the stream shows that leader and deputy have
// both ended.
func (n *Node) recoveryTimeout() time.Duration {
	ended := n.ledger.ended(n.ledger.Leader())
	if deputy := n.ledger.Deputy(); !deputy.IsZero() {
		ended = ended && n.ledger.ended(deputy)
	}
	if ended {
		return n.timing.renew + n.recovery.jitter
	}
	return n.timing.recoveryTimeout + n.recovery.jitter
}

func (n *Node) intend() {
	if !n.mayAppend(KindIntent) {
		return
	}
	nonce := n.nonce()
	n.append(nonce, Record{Intent: &Intent{Nonce: nonce, Base: n.ledger.state.RolesVersion, Candidate: n.self()}})
}

// foldedIntent objects to a recovery if this process works as leader or deputy.
func (n *Node) foldedIntent(i *Intent) {
	if i.Candidate == n.self() {
		n.recovery.intended = n.now
		return
	}
	if !n.working() || !n.mayAppend(KindObjection) {
		return
	}
	nonce := n.nonce()
	n.append(nonce, Record{Objection: &Objection{Nonce: nonce, Base: n.ledger.state.RolesVersion, Sender: n.self()}})
}

// working reports whether leader and deputy of the ledger's term answer each
// other, as far as this process knows as one of them.
func (n *Node) working() bool {
	if n.leader != nil {
		return n.leader.authority > n.now
	}
	return n.deputy.named && n.now.Sub(n.deputy.lastHeard) < n.timing.claimTimeout
}

// foldedClaim reacts to a valid claim.
func (n *Node) foldedClaim(c *Claim, before LedgerState) {
	n.recovery.intended = clock.Never
	n.follower.heard = n.now
	known := n.knownBefore(before)
	wasDeputy := n.deputy
	n.noteReport()
	n.stepDown()
	n.deputy = deputy{lastPledge: n.deputy.lastPledge}
	switch {
	case c.Candidate == n.self() && n.follower.term > n.ledger.Term():
		// A newer leader has been followed already.
	case c.Candidate == n.self():
		n.becomeLeader(c, known, wasDeputy)
	case c.Deputy == n.self():
		n.becomeDeputy()
	}
	n.keepOldRole(c)
}

// keepOldRole breaks the rule that a process holds nothing that an older
// incarnation of its instance held.
func (n *Node) keepOldRole(c *Claim) {
	if !n.broken(FaultKeepRoleAfterRestart) || c.Candidate == n.self() || c.Candidate.Instance != n.self().Instance {
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

// knownBefore returns the assignments that this process knew as deputy before
// a claim, if they are newer than those that the new term starts with.
func (n *Node) knownBefore(before LedgerState) []Grant {
	d := &n.deputy
	if d.term != before.Term || before.Term == 0 || d.seq <= n.ledger.carried {
		return nil
	}
	if n.broken(FaultForgetProvisional) {
		return nil
	}
	return d.state
}

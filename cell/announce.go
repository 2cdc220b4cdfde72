package cell

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// runAnnounce makes this process a member, and the first leader if the stream
// holds no claim.
func (n *Node) runAnnounce() {
	if n.reader.lastTail == clock.Never || n.ledger.err != nil || n.leaving {
		return
	}
	self := n.ledger.member(n.self().Instance)
	if self == nil || self.Member.Node.Incarnation < n.self().Incarnation {
		n.announce()
		return
	}
	n.runFirstClaim()
}

func (n *Node) announce() {
	if !n.mayAppend(KindAnnounce) {
		return
	}
	if len(n.ledger.Members()) >= MaxMembers && n.ledger.member(n.self().Instance) == nil {
		n.out.Err = &CellFullError{Self: n.self()}
		n.appends.notBefore[KindAnnounce] = n.now.Add(n.timing.recoveryTimeout)
		return
	}
	nonce := n.nonce()
	n.append(nonce, Record{Announce: &Announce{Nonce: nonce, Member: n.cfg.Self}})
}

// runFirstClaim claims the leadership of a stream without a claim, after a
// jitter that lets others announce themselves first.
func (n *Node) runFirstClaim() {
	if n.ledger.state.RolesVersion != 0 || n.ledger.announced(n.self()) == nil {
		return
	}
	r := &n.recovery
	if r.firstClaim == clock.Never {
		share := 0.5 + 0.5*n.jitter()
		r.firstClaim = n.now.Add(n.timing.renew / 2).Add(time.Duration(share * float64(n.timing.renew)))
	}
	n.wake(r.firstClaim)
	if n.now < r.firstClaim || !n.mayAppend(KindClaim) {
		return
	}
	nonce := n.nonce()
	n.append(nonce, Record{Claim: &Claim{
		Nonce:     nonce,
		Kind:      ClaimFirst,
		Candidate: n.self(),
		Deputy:    n.proposeDeputy(),
		Active:    true,
		State:     State{Grants: divideSpan(n.cfg.Span, n.cfg.InitialRanges)},
	}})
}

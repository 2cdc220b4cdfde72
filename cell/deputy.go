package cell

import (
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// maxUnconfirmed is the number of consecutive heartbeats without a newer
// acknowledged extension after which a deputy assumes that its extensions are lost.
const maxUnconfirmed = 3

// deputy is the state of this process as the deputy of a term.
type deputy struct {
	// term is the term whose leader's lease this process extends; 0 if none. It is
	// kept when the leader names another deputy: an extension by a former deputy is
	// harmless, and the leader may need it until it has read the record.
	term uint64
	// named is set while the ledger names this process as the deputy.
	named bool

	revision       uint32
	seq            uint64
	grants         []Grant    // assignments as of seq, from heartbeats
	proposedDeputy ident.Node // deputy proposed by the leader for a takeover
	leaderActive   bool       // the leader has reported that no older leader grants leases

	lastExtension     clock.Time // newest time that counts as an extension of the leader's lease
	lastConfirmed     clock.Time // newest heartbeat that acknowledged a newer extension, or when this process became deputy
	gotHeartbeat      bool       // a heartbeat has been received in this term
	seenRequest       uint32     // newest extension that the leader has acknowledged
	seenSentAt        clock.Time // when it was sent
	unconfirmed       int        // consecutive heartbeats that acknowledged no newer one
	extensions        [renewHistory]sentRequest
	handoverRequested bool // the leader has requested a claim
}

// onDeputyApplied reacts to a valid DeputyChange.
func (n *Node) onDeputyApplied() {
	d := &n.deputy
	if n.ledger.Deputy() == n.self() {
		n.becomeDeputy()
		return
	}
	d.named = false
	d.handoverRequested = false
}

// becomeDeputy starts the role given by a record that has just been read. Reading
// the record counts as an extension of the leader's lease.
func (n *Node) becomeDeputy() {
	if n.deputy.term != n.ledger.Term() {
		n.deputy = deputy{term: n.ledger.Term()}
	}
	n.deputy.named = true
	n.deputy.handoverRequested = false
	n.deputy.gotHeartbeat = false
	n.deputy.seenRequest = 0
	n.deputy.unconfirmed = 0
	n.deputy.lastExtension = n.now
	n.deputy.lastConfirmed = n.now
}

// deputyState returns the newest assignments of the ledger's term that this
// process has, from the log or from heartbeats.
func (n *Node) deputyState() State {
	st := &n.ledger.state
	if n.deputy.term == st.Term && n.deputy.seq > st.Seq && !n.faultEnabled(FaultForgetProvisional) {
		return State{Term: st.Term, Seq: n.deputy.seq, Grants: n.deputy.grants}
	}
	return State{Term: st.Term, Seq: st.Seq, Grants: st.Grants}
}

// onHeartbeat answers the leader of the ledger's term with a LeaseExtension.
func (n *Node) onHeartbeat(from ident.Node, m *Heartbeat) {
	d := &n.deputy
	if m.Term != n.ledger.Term() || d.term != m.Term {
		n.out.ReadLog = n.out.ReadLog || m.Term >= n.ledger.Term()
		n.extendAfterClaim(from, m)
		return
	}
	if from != n.ledger.Leader() || n.follower.term > m.Term {
		return
	}
	if m.Flags&heartbeatState != 0 && m.Revision > d.revision {
		d.revision = m.Revision
		d.seq = m.Seq
		d.grants = m.State
		d.proposedDeputy = m.ProposedDeputy
	}
	d.leaderActive = d.leaderActive || m.Flags&heartbeatActive != 0
	d.recordHeartbeat(m, n.now)
	d.lastExtension = n.now
	n.sendLeaseExtension(from, m)
}

// recordHeartbeat tracks whether the leader receives the extensions.
func (d *deputy) recordHeartbeat(m *Heartbeat, now clock.Time) {
	switch {
	case !d.gotHeartbeat:
		d.seenSentAt = now
	case newerRequest(m.SeenExtension, d.seenRequest):
		d.seenSentAt = d.extensionSentAt(m.SeenExtension, now)
	default:
		d.unconfirmed++
		d.extensions[m.Request%renewHistory] = sentRequest{request: m.Request, sent: now}
		return
	}
	d.gotHeartbeat = true
	d.seenRequest = m.SeenExtension
	d.unconfirmed = 0
	d.lastConfirmed = now
	d.extensions[m.Request%renewHistory] = sentRequest{request: m.Request, sent: now}
}

// extensionSentAt returns when the extension for the request was sent, or now if
// that is unknown.
func (d *deputy) extensionSentAt(request uint32, now clock.Time) clock.Time {
	if p := d.extensions[request%renewHistory]; p.request == request && p.sent != clock.Never {
		return p.sent
	}
	return now
}

// leaderTimedOut reports whether the leader has sent no heartbeat, or has received
// no extension, for the timeout.
func (d *deputy) leaderTimedOut(timeout time.Duration, now clock.Time) bool {
	if now.Sub(d.lastConfirmed) >= timeout {
		return true
	}
	return d.gotHeartbeat && d.unconfirmed >= maxUnconfirmed && now.Sub(d.seenSentAt) >= timeout
}

func (n *Node) sendLeaseExtension(to ident.Node, m *Heartbeat) {
	n.send(to, Message{LeaseExtension: &LeaseExtension{
		Term:     m.Term,
		Request:  m.Request,
		Revision: n.deputy.revision,
		Seq:      max(n.deputyState().Seq, n.deputy.seq),
	}})
}

// extendAfterClaim injects FaultExtendAfterClaim: a deputy that has read its own
// claim must not answer the old leader.
func (n *Node) extendAfterClaim(from ident.Node, m *Heartbeat) {
	if n.faultEnabled(FaultExtendAfterClaim) && n.leader != nil && m.Term < n.leader.term {
		n.send(from, Message{LeaseExtension: &LeaseExtension{Term: m.Term, Request: m.Request, Revision: m.Revision, Seq: m.Seq}})
	}
}

// onHandover records that the leader requests a claim of this process.
func (n *Node) onHandover(from ident.Node, m *Handover) {
	if m.Term == n.ledger.Term() && from == n.ledger.Leader() && n.deputy.named {
		n.deputy.handoverRequested = true
	}
}

// runDeputy claims the leadership if the leader has timed out, has exited or
// requests it. Until the claim is read as valid, heartbeats are still answered.
func (n *Node) runDeputy() {
	d := &n.deputy
	if !d.named || n.leader != nil || n.ledger.Deputy() != n.self() || n.follower.term > n.ledger.Term() {
		return
	}
	kind := n.claimKind()
	if kind == 0 || !n.mayAppend(KindClaim) {
		return
	}
	nonce := n.newNonce()
	n.append(nonce, Record{Claim: &Claim{
		Nonce:           nonce,
		ExpectedVersion: n.ledger.state.RolesVersion,
		Kind:            kind,
		Candidate:       n.self(),
		Deputy:          n.proposeDeputy(),
		Active:          n.olderLeadersInactive(),
		State:           n.deputyState(),
	}})
}

// claimKind returns the kind of claim that is due, or 0. A deputy that has not
// received a heartbeat does not claim while a former pair may have assignments
// that the log does not contain: only the leader of its own term may be able to
// carry them over, and it may not have read its claim yet. If that leader has
// failed too, a recovery collects the states that the members report.
func (n *Node) claimKind() ClaimKind {
	d := &n.deputy
	if !d.gotHeartbeat && len(n.ledger.state.FormerPairs) > 0 {
		return 0
	}
	timeout := n.timing.claimTimeout
	if !d.gotHeartbeat {
		timeout *= 2
	}
	n.wake(d.lastConfirmed.Add(timeout))
	switch {
	case n.ledger.terminated(n.ledger.Leader()), d.leaderTimedOut(timeout, n.now):
		return ClaimTakeover
	case d.handoverRequested:
		return ClaimHandover
	}
	return 0
}

// olderLeadersInactive reports whether no leader older than the current one grants
// leases.
func (n *Node) olderLeadersInactive() bool {
	return n.deputy.leaderActive || len(n.ledger.state.FormerPairs) == 0
}

// proposeDeputy returns the member that a claim of this process names as its
// deputy: the one that the leader proposed, else the newest member of another
// zone, else the newest member. It is zero if there is none.
func (n *Node) proposeDeputy() ident.Node {
	next := n.deputy.proposedDeputy
	if n.eligibleDeputy(next) && n.ledger.announcedMember(next) != nil {
		return next
	}
	var best *MemberState
	for i := range n.ledger.state.Members {
		m := &n.ledger.state.Members[i]
		if m.Removed || !n.eligibleDeputy(m.Member.Node) {
			continue
		}
		if best == nil || n.betterDeputy(m, best) {
			best = m
		}
	}
	if best == nil {
		return ident.Node{}
	}
	return best.Member.Node
}

// eligibleDeputy reports whether a claim of this process may name the node as
// deputy: it is neither this process nor the pair that is being replaced.
func (n *Node) eligibleDeputy(node ident.Node) bool {
	excluded := []ident.Node{{}, n.self(), n.ledger.Leader(), n.ledger.Deputy()}
	return !slices.Contains(excluded, node) && !n.ledger.terminated(node)
}

func (n *Node) betterDeputy(a, b *MemberState) bool {
	otherZoneA := a.Member.Zone != n.cfg.Self.Zone
	otherZoneB := b.Member.Zone != n.cfg.Self.Zone
	if otherZoneA != otherZoneB {
		return otherZoneA
	}
	return a.Offset > b.Offset
}

package cell

import (
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// maxStalled is the number of heartbeats that show no newer pledge after which
// a deputy takes its pledges for lost.
const maxStalled = 3

// deputy is what this process knows as the deputy of a term.
type deputy struct {
	// term is the term whose leader this process pledges to; 0 if none. It is
	// kept when the leader names another deputy: a pledge of a former deputy
	// does no harm, and the leader may need it until it has read the record.
	term uint64
	// named is set while the ledger names this process as the deputy.
	named bool

	revision uint32
	seq      uint64
	state    []Grant    // assignments as of seq, from heartbeats
	next     ident.Node // deputy proposed by the leader for a takeover
	active   bool       // the leader has said that no older leader grants any more

	lastPledge clock.Time // newest moment that counts as a pledge
	lastHeard  clock.Time // newest heartbeat that showed that pledges arrive, or the record that named this process
	heard      bool       // a heartbeat has come in this term
	seen       uint32     // newest pledge that the leader has seen
	seenSent   clock.Time // when that was sent
	stalled    int        // heartbeats since that showed no newer one
	pledges    [renewHistory]renewal
	handover   bool // the leader has asked for a claim
}

// foldedDeputy reacts to a valid DeputyChange.
func (n *Node) foldedDeputy() {
	d := &n.deputy
	if n.ledger.Deputy() == n.self() {
		n.becomeDeputy()
		return
	}
	d.named = false
	d.handover = false
}

// becomeDeputy starts the role that a record read just now has given. The
// reading counts as a pledge.
func (n *Node) becomeDeputy() {
	if n.deputy.term != n.ledger.Term() {
		n.deputy = deputy{term: n.ledger.Term()}
	}
	n.deputy.named = true
	n.deputy.handover = false
	n.deputy.heard = false
	n.deputy.seen = 0
	n.deputy.stalled = 0
	n.deputy.lastPledge = n.now
	n.deputy.lastHeard = n.now
}

// deputyState returns the newest assignments that this process knows of the
// ledger's term, from the log and from heartbeats.
func (n *Node) deputyState() State {
	st := &n.ledger.state
	if n.deputy.term == st.Term && n.deputy.seq > st.Seq && !n.broken(FaultForgetProvisional) {
		return State{Term: st.Term, Seq: n.deputy.seq, Grants: n.deputy.state}
	}
	return State{Term: st.Term, Seq: st.Seq, Grants: st.Grants}
}

// onHeartbeat answers the leader of the ledger's term with a pledge.
func (n *Node) onHeartbeat(from ident.Node, m *Heartbeat) {
	d := &n.deputy
	if m.Term != n.ledger.Term() || d.term != m.Term {
		n.out.ReadLog = n.out.ReadLog || m.Term >= n.ledger.Term()
		n.pledgeAfterClaim(from, m)
		return
	}
	if from != n.ledger.Leader() || n.follower.term > m.Term {
		return
	}
	if m.Flags&heartbeatState != 0 && m.Revision > d.revision {
		d.revision = m.Revision
		d.seq = m.Seq
		d.state = m.State
		d.next = m.Next
	}
	d.active = d.active || m.Flags&heartbeatActive != 0
	d.noteHeartbeat(m, n.now)
	d.lastPledge = n.now
	n.pledge(from, m)
}

// noteHeartbeat notes whether the leader receives the pledges.
func (d *deputy) noteHeartbeat(m *Heartbeat, now clock.Time) {
	switch {
	case !d.heard:
		d.seenSent = now
	case newer(m.Seen, d.seen):
		d.seenSent = d.pledgeSent(m.Seen, now)
	default:
		d.stalled++
		d.pledges[m.Request%renewHistory] = renewal{request: m.Request, sent: now}
		return
	}
	d.heard = true
	d.seen = m.Seen
	d.stalled = 0
	d.lastHeard = now
	d.pledges[m.Request%renewHistory] = renewal{request: m.Request, sent: now}
}

// pledgeSent returns when the pledge for the request was sent, or now if that
// is not known.
func (d *deputy) pledgeSent(request uint32, now clock.Time) clock.Time {
	if p := d.pledges[request%renewHistory]; p.request == request && p.sent != clock.Never {
		return p.sent
	}
	return now
}

// silent reports whether the leader has been silent, or has received no pledge,
// for the timeout.
func (d *deputy) silent(timeout time.Duration, now clock.Time) bool {
	if now.Sub(d.lastHeard) >= timeout {
		return true
	}
	return d.heard && d.stalled >= maxStalled && now.Sub(d.seenSent) >= timeout
}

func (n *Node) pledge(to ident.Node, m *Heartbeat) {
	n.send(to, Message{Pledge: &Pledge{
		Term:     m.Term,
		Request:  m.Request,
		Revision: n.deputy.revision,
		Seq:      max(n.deputyState().Seq, n.deputy.seq),
	}})
}

// pledgeAfterClaim breaks the rule that a deputy which has read its own claim
// answers the old leader no more.
func (n *Node) pledgeAfterClaim(from ident.Node, m *Heartbeat) {
	if n.broken(FaultExtendAfterClaim) && n.leader != nil && m.Term < n.leader.term {
		n.send(from, Message{Pledge: &Pledge{Term: m.Term, Request: m.Request, Revision: m.Revision, Seq: m.Seq}})
	}
}

// onHandover notes that the leader wants this process to claim.
func (n *Node) onHandover(from ident.Node, m *Handover) {
	if m.Term == n.ledger.Term() && from == n.ledger.Leader() && n.deputy.named {
		n.deputy.handover = true
	}
}

// runDeputy claims the leadership if the leader is silent, has ended or asks
// for it. Until the claim is read as valid, heartbeats are still answered.
func (n *Node) runDeputy() {
	d := &n.deputy
	if !d.named || n.leader != nil || n.ledger.Deputy() != n.self() || n.follower.term > n.ledger.Term() {
		return
	}
	kind := n.claimKind()
	if kind == 0 || !n.mayAppend(KindClaim) {
		return
	}
	nonce := n.nonce()
	n.append(nonce, Record{Claim: &Claim{
		Nonce:     nonce,
		Base:      n.ledger.state.RolesVersion,
		Kind:      kind,
		Candidate: n.self(),
		Deputy:    n.proposeDeputy(),
		Active:    n.olderLeadersEnded(),
		State:     n.deputyState(),
	}})
}

// claimKind returns the kind of claim that is due, or 0. A deputy that has not
// heard its leader does not claim while an older pair may know of assignments
// that the log does not hold: the leader of its own term may be the only one to
// carry them over, and may just not have read its claim yet. If that leader is
// lost too, a recovery collects what the members report.
func (n *Node) claimKind() ClaimKind {
	d := &n.deputy
	if !d.heard && len(n.ledger.state.Pending) > 0 {
		return 0
	}
	timeout := n.timing.claimTimeout
	if !d.heard {
		timeout *= 2
	}
	n.wake(d.lastHeard.Add(timeout))
	switch {
	case n.ledger.ended(n.ledger.Leader()), d.silent(timeout, n.now):
		return ClaimTakeover
	case d.handover:
		return ClaimHandover
	}
	return 0
}

// olderLeadersEnded reports whether no leader older than the present one
// grants leases any more.
func (n *Node) olderLeadersEnded() bool {
	return n.deputy.active || len(n.ledger.state.Pending) == 0
}

// proposeDeputy returns the member that a claim of this process names as its
// deputy: the one that the leader proposed, else the newest member of another
// zone, else the newest member. It is zero if there is none.
func (n *Node) proposeDeputy() ident.Node {
	next := n.deputy.next
	if n.eligibleDeputy(next) && n.ledger.announced(next) != nil {
		return next
	}
	var best *MemberState
	for i := range n.ledger.state.Members {
		m := &n.ledger.state.Members[i]
		if m.Gone || !n.eligibleDeputy(m.Member.Node) {
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

// eligibleDeputy reports whether the process may be named by a claim of this
// one: it is neither this process nor the pair that is being replaced.
func (n *Node) eligibleDeputy(node ident.Node) bool {
	excluded := []ident.Node{{}, n.self(), n.ledger.Leader(), n.ledger.Deputy()}
	return !slices.Contains(excluded, node) && !n.ledger.ended(node)
}

func (n *Node) betterDeputy(a, b *MemberState) bool {
	awayA := a.Member.Zone != n.cfg.Self.Zone
	awayB := b.Member.Zone != n.cfg.Self.Zone
	if awayA != awayB {
		return awayA
	}
	return a.Offset > b.Offset
}

package cell

import (
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// renewHistory is the number of renewals whose send time a member remembers.
const renewHistory = 16

// maxFastRetries is the number of unanswered renewals after which a member
// retries at the renewal interval instead of the retry interval.
const maxFastRetries = 10

// follower is the state of this process as a member under a leader.
type follower struct {
	term       uint64     // newest term followed
	leader     ident.Node // its leader; zero if this process led the term and has stepped down
	noticeSeq  uint32     // newest LeaderNotice of the term
	echoNotice bool       // noticeSeq has not been echoed yet
	seenLease  uint32     // Request of the newest Lease of the term
	report     *State     // newest state from a role in an older term

	version uint32 // version of grants within the term; 0 before the first
	grants  []Grant
	expires clock.Time
	// releasing lists grants that admit no new requests while requests in flight finish.
	releasing []releasingGrant
	// released lists released grants that the leader may still assume to be held.
	released []Grant
	// unreleased lists grants that ended without a release.
	unreleased []unreleasedGrant

	renewals     [renewHistory]sentRequest
	nextRequest  uint32
	nextRenew    clock.Time
	unanswered   int
	lastContact  clock.Time // newest message of the leader, or restart of this timeout
	load         []RangeLoad
	leaveAllowed bool
}

// sentRequest is a Renew, Heartbeat or LeaseExtension that was sent.
type sentRequest struct {
	request uint32
	sent    clock.Time
}

// releasingGrant is a grant that is being released.
type releasingGrant struct {
	grant Grant
	since clock.Time
}

func (f *follower) isReleasing(g Grant) bool {
	return slices.ContainsFunc(f.releasing, func(r releasingGrant) bool { return r.grant == g })
}

// followTerm makes this process a member of the term. It keeps its unexpired
// grants until they expire or the new leader replaces them.
func (n *Node) followTerm(term uint64, leader ident.Node) {
	f := &n.follower
	if term <= f.term {
		return
	}
	n.saveReport()
	if leader != n.self() {
		n.stepDown()
	}
	f.term = term
	f.leader = leader
	f.noticeSeq = 0
	f.seenLease = 0
	f.version = 0
	f.released = nil
	if !n.leaving {
		f.releasing = nil
	}
	f.leaveAllowed = false
	f.unanswered = 0
	f.nextRenew = n.now
}

// acceptsLeader reports whether the sender may be followed as the leader of the term.
func (n *Node) acceptsLeader(from ident.Node, term uint64) bool {
	f := &n.follower
	if term < f.term && n.faultEnabled(FaultFollowOldTerm) {
		return n.leader == nil
	}
	if term < f.term || term < n.ledger.Term() {
		return false
	}
	if term == n.ledger.Term() && from != n.ledger.Leader() {
		return false
	}
	return term > f.term || from == f.leader
}

// onLeaderNotice follows the sender's term and renews immediately.
func (n *Node) onLeaderNotice(from ident.Node, m *LeaderNotice) {
	if !n.acceptsLeader(from, m.Term) {
		return
	}
	if m.Term > n.ledger.Term() {
		n.out.ReadLog = true
	}
	f := &n.follower
	n.followTerm(m.Term, from)
	f.noticeSeq = max(f.noticeSeq, m.Seq)
	f.echoNotice = true
	f.lastContact = n.now
	f.nextRenew = n.now
}

// onLease processes a lease and the grants that it carries.
func (n *Node) onLease(from ident.Node, m *Lease) {
	if !n.acceptsLeader(from, m.Term) || m.Term > n.follower.term {
		return
	}
	f := &n.follower
	f.lastContact = n.now
	if m.Flags&leaseGrants != 0 && !n.applyGrants(m) {
		return
	}
	f.leaveAllowed = m.Flags&leaseMayLeave != 0
	if m.Request != 0 {
		f.seenLease = m.Request
	}
	if m.Flags&leaseNeedsAck != 0 {
		f.nextRenew = n.now
	}
	if m.Request == 0 || m.Version != f.version {
		f.nextRenew = n.now
		return
	}
	n.extendLease(m)
}

// applyGrants replaces the grants by those of a newer version. It reports whether
// the message is addressed to this process.
func (n *Node) applyGrants(m *Lease) bool {
	f := &n.follower
	if m.To != n.self().Incarnation {
		return false
	}
	if m.Version <= f.version {
		return true
	}
	var grants, released []Grant
	for _, g := range m.Grants {
		switch {
		case g.Owner != n.self():
			return false
		case slices.Contains(f.released, g):
			released = append(released, g)
		default:
			grants = append(grants, g)
		}
	}
	f.version = m.Version
	f.grants = grants
	f.released = released
	f.releasing = slices.DeleteFunc(f.releasing, func(r releasingGrant) bool { return !slices.Contains(grants, r.grant) })
	return true
}

// extendLease extends the lease, counted from the sending of the Renew.
func (n *Node) extendLease(m *Lease) {
	f := &n.follower
	sent, ok := f.sentAt(m.Request)
	if !ok || m.DurationMicros == 0 {
		return
	}
	if n.faultEnabled(FaultCountFromReceipt) {
		sent = n.now
	}
	f.unanswered = 0
	duration := time.Duration(m.DurationMicros) * time.Microsecond
	if n.faultEnabled(FaultOverlongLease) {
		duration *= 2
	}
	f.expires = max(f.expires, sent.Add(n.timing.minusDrift(duration)))
	remaining := f.expires.Sub(n.now)
	f.nextRenew = n.now.Add(min(n.timing.renew, max(remaining/2, 0)))
}

func (f *follower) sentAt(request uint32) (clock.Time, bool) {
	for _, r := range f.renewals {
		if r.request == request && r.sent != clock.Never {
			return r.sent, true
		}
	}
	return clock.Never, false
}

// runFollower renews the lease when it is due and completes a planned stop.
func (n *Node) runFollower() {
	f := &n.follower
	n.resumeAdmission()
	if n.leader != nil || n.ledger.announcedMember(n.self()) == nil {
		n.leaveUnannounced()
		return
	}
	if n.leaving && f.leaveAllowed && len(n.holdings(n.now)) == 0 && n.drained() {
		n.left = true
		n.out.Left = true
		return
	}
	if n.now >= f.nextRenew {
		n.renew()
	}
	n.wake(f.nextRenew)
}

// leaveUnannounced completes the planned stop of a process that never joined.
func (n *Node) leaveUnannounced() {
	if n.leaving && n.leader == nil && n.appends.last[KindAnnounce].nonce == 0 && n.drained() {
		n.left = true
		n.out.Left = true
	}
}

// renew sends a Renew to the current leader. If there is none, it asks the leader
// that the log names for a LeaderNotice.
func (n *Node) renew() {
	f := &n.follower
	f.nextRenew = n.now.Add(n.renewRetryDelay())
	if f.term < n.ledger.Term() || f.leader.IsZero() {
		n.send(n.ledger.Leader(), Message{Renew: &Renew{Term: n.ledger.Term()}})
		return
	}
	f.unanswered++
	f.nextRequest++
	if f.nextRequest == 0 {
		f.nextRequest = 1
	}
	f.renewals[f.nextRequest%renewHistory] = sentRequest{request: f.nextRequest, sent: n.now}
	m := &Renew{Term: f.term, Request: f.nextRequest, Version: f.version, Flags: n.renewFlags(), SeenLease: f.seenLease, Load: f.load}
	f.load = nil
	if f.echoNotice {
		m.NoticeSeq = f.noticeSeq
		f.echoNotice = false
	}
	if f.version == 0 {
		m.NoticeSeq = f.noticeSeq
		m.HeldGrants = n.heldGrants()
		m.Report = f.report
	}
	n.send(f.leader, Message{Renew: m})
	n.resendReleases()
}

// renewRetryDelay returns the time until the next Renew if this one is not answered.
func (n *Node) renewRetryDelay() time.Duration {
	f := &n.follower
	if f.unanswered > maxFastRetries || f.term < n.ledger.Term() || f.leader.IsZero() {
		return n.timing.renew
	}
	return n.timing.retry
}

func (n *Node) renewFlags() uint8 {
	var flags uint8
	if !n.targetReady {
		flags |= renewNotReady
	}
	if n.leaving {
		flags |= renewLeaving
	}
	return flags
}

// heldGrants returns the local grants that have not expired.
func (n *Node) heldGrants() []Grant {
	var held []Grant
	for _, h := range n.holdings(n.now) {
		held = append(held, h.Grant)
	}
	return held
}

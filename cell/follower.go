package cell

import (
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// renewHistory is the number of renewals whose send time a member remembers.
const renewHistory = 16

// slowRetries is the number of unanswered renewals after which a member asks
// less often.
const slowRetries = 10

// follower is this process as a member under a leader.
type follower struct {
	term   uint64     // newest term followed
	leader ident.Node // its leader; zero if that has stepped down
	lead   uint32     // newest Lead of the term
	echo   bool       // lead has not been echoed yet
	seen   uint32     // request of the newest Lease of the term
	report *State     // newest state known from a role in an older term

	version uint32 // version of grants within the term; 0 before the first
	grants  []Grant
	expires clock.Time
	// releasing lists grants whose requests are refused while work ends.
	releasing []releasing
	// dropped lists grants given up that the leader may still count.
	dropped []Grant
	// lost lists grants that ended without a release.
	lost []lostGrant

	renewals    [renewHistory]renewal
	nextRequest uint32
	nextRenew   clock.Time
	unanswered  int
	heard       clock.Time // newest message of the leader
	load        []RangeLoad
	mayLeave    bool
}

// renewal is a Renew that was sent.
type renewal struct {
	request uint32
	sent    clock.Time
}

// releasing is a grant that is being given up.
type releasing struct {
	grant Grant
	since clock.Time
}

func (f *follower) releases(g Grant) bool {
	return slices.ContainsFunc(f.releasing, func(r releasing) bool { return r.grant == g })
}

// follow makes this process a member of the term. It holds its unexpired
// grants until they expire or the new leader replaces them.
func (n *Node) follow(term uint64, leader ident.Node) {
	f := &n.follower
	if term <= f.term {
		return
	}
	n.noteReport()
	if leader != n.self() {
		n.stepDown()
	}
	f.term = term
	f.leader = leader
	f.lead = 0
	f.seen = 0
	f.version = 0
	f.dropped = nil
	if !n.leaving {
		f.releasing = nil
	}
	f.mayLeave = false
	f.unanswered = 0
	f.nextRenew = n.now
}

// leads reports whether the sender may be followed as the leader of the term.
func (n *Node) leads(from ident.Node, term uint64) bool {
	f := &n.follower
	if term < f.term && n.broken(FaultFollowOldTerm) {
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

// onLead follows the sender's term and renews at once.
func (n *Node) onLead(from ident.Node, m *Lead) {
	if !n.leads(from, m.Term) {
		return
	}
	if m.Term > n.ledger.Term() {
		n.out.ReadLog = true
	}
	f := &n.follower
	n.follow(m.Term, from)
	f.lead = max(f.lead, m.Seq)
	f.echo = true
	f.heard = n.now
	f.nextRenew = n.now
}

// onLease takes in a lease and the grants that come with it.
func (n *Node) onLease(from ident.Node, m *Lease) {
	if !n.leads(from, m.Term) || m.Term > n.follower.term {
		return
	}
	f := &n.follower
	f.heard = n.now
	if m.Flags&leaseGrants != 0 && !n.adopt(m) {
		return
	}
	f.mayLeave = m.Flags&leaseMayLeave != 0
	if m.Request != 0 {
		f.seen = m.Request
	}
	if m.Flags&leaseUnseen != 0 {
		f.nextRenew = n.now
	}
	if m.Request == 0 || m.Version != f.version {
		f.nextRenew = n.now
		return
	}
	n.extend(m)
}

// adopt replaces the grants by those of a newer version. It reports whether
// the message was meant for this process.
func (n *Node) adopt(m *Lease) bool {
	f := &n.follower
	if m.To != n.self().Incarnation {
		return false
	}
	if m.Version <= f.version {
		return true
	}
	var grants, dropped []Grant
	for _, g := range m.Grants {
		switch {
		case g.Owner != n.self():
			return false
		case slices.Contains(f.dropped, g):
			dropped = append(dropped, g)
		default:
			grants = append(grants, g)
		}
	}
	f.version = m.Version
	f.grants = grants
	f.dropped = dropped
	f.releasing = slices.DeleteFunc(f.releasing, func(r releasing) bool { return !slices.Contains(grants, r.grant) })
	return true
}

// extend prolongs the lease, counted from the sending of the Renew.
func (n *Node) extend(m *Lease) {
	f := &n.follower
	sent, ok := f.sentAt(m.Request)
	if !ok || m.Micros == 0 {
		return
	}
	if n.broken(FaultCountFromReceipt) {
		sent = n.now
	}
	f.unanswered = 0
	duration := time.Duration(m.Micros) * time.Microsecond
	if n.broken(FaultOverlongLease) {
		duration *= 2
	}
	f.expires = max(f.expires, sent.Add(n.timing.shorter(duration)))
	left := f.expires.Sub(n.now)
	f.nextRenew = n.now.Add(min(n.timing.renew, max(left/2, 0)))
}

func (f *follower) sentAt(request uint32) (clock.Time, bool) {
	for _, r := range f.renewals {
		if r.request == request && r.sent != clock.Never {
			return r.sent, true
		}
	}
	return clock.Never, false
}

// runFollower renews the lease when it is due and ends a planned stop.
func (n *Node) runFollower() {
	f := &n.follower
	n.resumeReleasing()
	if n.leader != nil || n.ledger.announced(n.self()) == nil {
		n.leaveUnannounced()
		return
	}
	if n.leaving && f.mayLeave && len(n.holdings(n.now)) == 0 && n.drained() {
		n.left = true
		n.out.Left = true
		return
	}
	if n.now >= f.nextRenew {
		n.renew()
	}
	n.wake(f.nextRenew)
}

// leaveUnannounced ends the planned stop of a process that never joined.
func (n *Node) leaveUnannounced() {
	if n.leaving && n.leader == nil && n.appends.last[KindAnnounce].nonce == 0 && n.drained() {
		n.left = true
		n.out.Left = true
	}
}

// renew sends a Renew to the leader followed, or asks the leader that the log
// names for a Lead.
func (n *Node) renew() {
	f := &n.follower
	f.nextRenew = n.now.Add(n.renewPause())
	if f.term < n.ledger.Term() || f.leader.IsZero() {
		n.send(n.ledger.Leader(), Message{Renew: &Renew{Term: n.ledger.Term()}})
		return
	}
	f.unanswered++
	f.nextRequest++
	if f.nextRequest == 0 {
		f.nextRequest = 1
	}
	f.renewals[f.nextRequest%renewHistory] = renewal{request: f.nextRequest, sent: n.now}
	m := &Renew{Term: f.term, Request: f.nextRequest, Version: f.version, Flags: n.renewFlags(), Seen: f.seen, Load: f.load}
	f.load = nil
	if f.echo {
		m.Lead = f.lead
		f.echo = false
	}
	if f.version == 0 {
		m.Lead = f.lead
		m.Holds = n.heldGrants()
		m.Report = f.report
	}
	n.send(f.leader, Message{Renew: m})
	n.repeatReleases()
}

// renewPause returns the time to the next Renew if this one is not answered.
func (n *Node) renewPause() time.Duration {
	f := &n.follower
	if f.unanswered > slowRetries || f.term < n.ledger.Term() || f.leader.IsZero() {
		return n.timing.renew
	}
	return n.timing.retry
}

func (n *Node) renewFlags() uint8 {
	var flags uint8
	if !n.ready {
		flags |= renewNotReady
	}
	if n.leaving {
		flags |= renewLeaving
	}
	return flags
}

// heldGrants returns the grants that are unexpired now.
func (n *Node) heldGrants() []Grant {
	var held []Grant
	for _, h := range n.holdings(n.now) {
		held = append(held, h.Grant)
	}
	return held
}

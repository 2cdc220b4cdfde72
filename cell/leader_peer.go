package cell

import (
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// peer is the leader's state of one process, including its own.
type peer struct {
	node   ident.Node
	member Member

	// confirmed is set once the process follows the leader's term.
	confirmed bool
	// priorGrants holds the grants of older terms that the process still held then.
	priorGrants []Grant
	notReady    bool
	leaving     bool
	// leaseDenied is set if the newest Renew got no lease because the leader's own
	// lease had expired.
	leaseDenied bool
	// mayStop is set once a Lease with leaseMayLeave has been sent to the process.
	mayStop      bool
	lastRenew    clock.Time // when the newest Renew was received
	seenRequest  uint32     // newest Lease that the process has acknowledged
	seenAt       clock.Time // time of the Renew that acknowledged it
	leaseEnd     clock.Time // end of the newest lease, on the leader's clock
	noticeSeq    uint32     // newest LeaderNotice that the process has answered
	noticeSentAt clock.Time // when a LeaderNotice was last sent

	version     uint32  // of sentGrants; 0 before the first
	sentGrants  []Grant // grants last sent
	heldVersion uint32  // newest version that the process has acknowledged
	pushedAt    clock.Time
}

// syncPeers maintains a peer for each member and for each process that still
// owns a range.
func (n *Node) syncPeers() {
	l := n.leader
	for _, m := range n.ledger.state.Members {
		p := l.peer(m.Member.Node)
		switch {
		case p != nil:
			p.member = m.Member
		case !m.Removed:
			l.peers = append(l.peers, &peer{node: m.Member.Node, member: m.Member})
		}
	}
	l.peers = slices.DeleteFunc(l.peers, func(p *peer) bool {
		return p.node != n.self() && n.ledger.announcedMember(p.node) == nil && l.table.countOwned(p.node) == 0
	})
}

func (l *leader) peer(node ident.Node) *peer {
	for _, p := range l.peers {
		if p.node == node {
			return p
		}
	}
	return nil
}

// sendLeaderNotices sends notices to the members that do not follow the term yet.
func (n *Node) sendLeaderNotices() {
	l := n.leader
	interval := n.timing.retry
	if n.now.Sub(l.since) > 2*n.timing.lease {
		interval = n.timing.lease
	}
	for _, p := range l.peers {
		if p.confirmed || n.ledger.announcedMember(p.node) == nil {
			continue
		}
		if p.noticeSentAt != clock.Never && n.now < p.noticeSentAt.Add(interval) {
			continue
		}
		n.sendLeaderNotice(p)
	}
}

func (n *Node) sendLeaderNotice(p *peer) {
	p.noticeSentAt = n.now
	n.send(p.node, Message{LeaderNotice: &LeaderNotice{Term: n.leader.term, Seq: n.leader.noticeSeq}})
}

// onRenew grants the sender a lease. A process that does not follow the term yet
// is sent a LeaderNotice first: only its answer lists the grants that it holds.
func (n *Node) onRenew(from ident.Node, m *Renew) {
	l := n.leader
	if l == nil || m.Term != l.term {
		n.out.ReadLog = n.out.ReadLog || m.Term > n.ledger.Term()
		return
	}
	if n.ledger.terminated(from) {
		return
	}
	if n.ledger.announcedMember(from) == nil {
		n.out.ReadLog = true
		return
	}
	p := l.peer(from)
	if p == nil {
		p = &peer{node: from, member: *n.ledger.announcedMember(from)}
		l.peers = append(l.peers, p)
	}
	if !p.confirmed && (m.NoticeSeq == 0 || m.NoticeSeq > l.noticeSeq) {
		n.requestFollow(p)
		return
	}
	p.recordRenew(m, n.now)
	l.activation.recordReport(from, m.Report)
	if n.cfg.Balance.Interval > 0 {
		l.balance.recordLoads(m.Load)
	}
	n.updateLeaderLease()
	n.updateCommitted()
	n.sendLease(p, m.Request)
}

// requestFollow sends a LeaderNotice, at most once per retry interval.
func (n *Node) requestFollow(p *peer) {
	if p.noticeSentAt == clock.Never || n.now >= p.noticeSentAt.Add(n.timing.retry) {
		n.sendLeaderNotice(p)
	}
}

// recordRenew updates the peer from a Renew.
func (p *peer) recordRenew(m *Renew, now clock.Time) {
	if !p.confirmed {
		p.confirmed = true
		p.priorGrants = m.HeldGrants
		p.seenAt = now
	}
	p.noticeSeq = max(p.noticeSeq, m.NoticeSeq)
	if newerRequest(m.SeenLease, p.seenRequest) {
		p.seenRequest = m.SeenLease
		p.seenAt = now
	}
	p.notReady = m.Flags&renewNotReady != 0
	p.leaving = m.Flags&renewLeaving != 0
	p.lastRenew = now
	p.heldVersion = max(p.heldVersion, m.Version)
}

// newerRequest reports whether request is newer than another one; 0 stands for
// none. Request numbers wrap around.
func newerRequest(request, than uint32) bool {
	return request != 0 && (than == 0 || int32(request-than) > 0)
}

// sendLease answers a Renew. No grants are sent until the leader is active: the
// member would hold them under its lease of an older term.
func (n *Node) sendLease(p *peer, request uint32) {
	l := n.leader
	duration := min(n.timing.lease, n.grantLimit().Sub(n.now))
	needsAck := n.now.Sub(p.seenAt) > n.timing.claimTimeout
	if needsAck {
		duration = 0
	}
	micros := uint32(max(duration, 0) / time.Microsecond)
	if micros > 0 {
		p.leaseEnd = max(p.leaseEnd, n.now.Add(n.expiryBound(time.Duration(micros)*time.Microsecond)))
	}
	p.leaseDenied = micros == 0
	if l.activation.active {
		n.refreshGrants(p)
	}
	m := &Lease{Term: l.term, Request: request, DurationMicros: micros, Version: p.version}
	if needsAck {
		m.Flags |= leaseNeedsAck
	}
	if n.mayLeave(p) {
		m.Flags |= leaseMayLeave
		p.mayStop = true
	}
	n.addGrants(p, m)
	n.send(p.node, Message{Lease: m})
}

// expiryBound returns the time after which a lease of the duration has expired on
// every clock.
func (n *Node) expiryBound(d time.Duration) time.Duration {
	if n.faultEnabled(FaultIgnoreDrift) {
		return d - d/10
	}
	return n.timing.plusDrift(d)
}

// addGrants adds the grants if the process has not acknowledged them yet.
func (n *Node) addGrants(p *peer, m *Lease) {
	if p.heldVersion >= p.version {
		return
	}
	m.Flags |= leaseGrants
	m.To = p.node.Incarnation
	m.Grants = p.sentGrants
	p.pushedAt = n.now
}

// refreshGrants updates the process's grants, and increments their version if
// they have changed.
func (n *Node) refreshGrants(p *peer) bool {
	grants := n.grantsFor(p)
	if p.version > 0 && slices.Equal(grants, p.sentGrants) {
		return false
	}
	p.version++
	p.sentGrants = grants
	return true
}

// leaseNowAvailable reports whether a member that was denied a lease can get one
// now. A Lease with Request 0 makes it renew immediately.
func (n *Node) leaseNowAvailable(p *peer) bool { return p.leaseDenied && n.grantLimit() > n.now }

// pushGrants sends changed grants immediately.
func (n *Node) pushGrants() {
	for _, p := range n.leader.peers {
		if p.node == n.self() || !p.confirmed {
			continue
		}
		if p.leaseEnd <= n.now && !n.leaseNowAvailable(p) {
			continue
		}
		if !n.refreshGrants(p) && !n.leaseNowAvailable(p) && (p.heldVersion >= p.version || n.now < p.pushedAt.Add(n.timing.retry)) {
			continue
		}
		p.leaseDenied = false
		m := &Lease{Term: n.leader.term, Version: p.version}
		n.addGrants(p, m)
		n.send(p.node, Message{Lease: m})
	}
}

// grantsFor returns the grants that the process may hold. A grant of this term must
// be committed. A grant of an older term must be covered by the process's
// priorGrants, until no old leader can have granted its range to another process.
// The prior grants were committed in the older term, and the deputy receives them
// before it extends the leader's lease. Their bounds may differ from the current
// ones by a split or merge.
func (n *Node) grantsFor(p *peer) []Grant {
	l := n.leader
	var grants []Grant
	for _, e := range l.table.entries {
		if e.grant.Owner != p.node {
			continue
		}
		if e.grant.Token.Term != l.term && coversRange(p.priorGrants, e.grant.Range) {
			grants = append(grants, e.grant)
			continue
		}
		if e.seq > l.table.committed {
			for _, g := range e.replaced {
				if !slices.Contains(grants, g) {
					grants = append(grants, g)
				}
			}
			continue
		}
		if e.grant.Token.Term != l.term && n.now < l.activation.oldLeasesEnd {
			continue
		}
		grants = append(grants, e.grant)
	}
	return grants
}

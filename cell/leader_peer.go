package cell

import (
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// peer is what the leader knows of one process, itself included.
type peer struct {
	node   ident.Node
	member Member

	// confirmed is set once the process follows the leader's term.
	confirmed bool
	// priorGrants holds the grants of older terms that the process still held then.
	priorGrants []Grant
	notReady    bool
	leaving     bool
	// leaseDenied is set while the newest Renew got no lease for want of authority.
	leaseDenied bool
	// mayStop is set once the process has been told that it may stop.
	mayStop      bool
	lastRenew    clock.Time // newest Renew
	seenRequest  uint32     // newest answer that the process has seen
	seenAt       clock.Time // when a Renew showed that
	leaseEnd     clock.Time // end of the newest lease, on the leader's clock
	noticeSeq    uint32     // newest Lead that the process has answered
	noticeSentAt clock.Time // when Lead was last sent

	version     uint32  // of sent; 0 before the first
	sentGrants  []Grant // grants last sent
	heldVersion uint32  // newest version that the process has confirmed
	pushedAt    clock.Time
}

// syncPeers keeps a peer for each member and for each process that still owns
// a range.
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

// sendLeaderNotices tells members that do not follow yet whom to follow.
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

// onRenew grants the sender a lease. A process that does not follow the term
// yet is sent a Lead first: what it held is only known from an answer to that.
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

// requestFollow tells a process that does not follow the term to do so.
func (n *Node) requestFollow(p *peer) {
	if p.noticeSentAt == clock.Never || n.now >= p.noticeSentAt.Add(n.timing.retry) {
		n.sendLeaderNotice(p)
	}
}

// recordRenew takes in what a Renew says.
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

// newerRequest reports whether a request number is larger than another; 0 stands for
// none. Numbers wrap around.
func newerRequest(request, than uint32) bool {
	return request != 0 && (than == 0 || int32(request-than) > 0)
}

// sendLease answers a Renew. No grants are sent while the gate is closed: the
// member would hold them under its lease of an older term.
func (n *Node) sendLease(p *peer, request uint32) {
	l := n.leader
	duration := min(n.timing.lease, n.grantLimit().Sub(n.now))
	unseen := n.now.Sub(p.seenAt) > n.timing.claimTimeout
	if unseen {
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
	if unseen {
		m.Flags |= leaseNeedsAck
	}
	if n.mayLeave(p) {
		m.Flags |= leaseMayLeave
		p.mayStop = true
	}
	n.addGrants(p, m)
	n.send(p.node, Message{Lease: m})
}

// expiryBound returns the time after which a lease of the duration is over on
// every clock.
func (n *Node) expiryBound(d time.Duration) time.Duration {
	if n.faultEnabled(FaultIgnoreDrift) {
		return d - d/10
	}
	return n.timing.plusDrift(d)
}

// addGrants adds the grants if the process has not confirmed them yet.
func (n *Node) addGrants(p *peer, m *Lease) {
	if p.heldVersion >= p.version {
		return
	}
	m.Flags |= leaseGrants
	m.To = p.node.Incarnation
	m.Grants = p.sentGrants
	p.pushedAt = n.now
}

// refreshGrants brings the process's grants up to date, under a new version if
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

// leaseNowAvailable reports whether a member that got no lease can have one now. The
// message makes it renew at once.
func (n *Node) leaseNowAvailable(p *peer) bool { return p.leaseDenied && n.grantLimit() > n.now }

// pushGrants sends changed grants at once.
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

// grantsFor returns the grants that the process may hold: those that stand,
// and of those from older terms only the ones whose range it listed, until no
// old leader can have granted them to anyone. The listed ones stood in the
// older term; the deputy learns of them before it extends the authority. The
// bounds may differ from the listed ones by a split or merge.
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

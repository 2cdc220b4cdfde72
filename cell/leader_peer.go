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
	// listed holds the grants of older terms that the process still held then.
	listed   []Grant
	notReady bool
	leaving  bool
	// dismissed is set once the process has been told that it may stop.
	dismissed bool
	renewed   clock.Time // newest Renew
	seen      uint32     // newest answer that the process has seen
	seenAt    clock.Time // when a Renew showed that
	lapse     clock.Time // end of the newest lease, on the leader's clock
	lead      uint32     // newest Lead that the process has answered
	leadAt    clock.Time // when Lead was last sent

	version uint32  // of sent; 0 before the first
	sent    []Grant // grants last sent
	held    uint32  // newest version that the process has confirmed
	pushed  clock.Time
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
		case !m.Gone:
			l.peers = append(l.peers, &peer{node: m.Member.Node, member: m.Member})
		}
	}
	l.peers = slices.DeleteFunc(l.peers, func(p *peer) bool {
		return p.node != n.self() && n.ledger.announced(p.node) == nil && l.table.owns(p.node) == 0
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

// sendLeads tells members that do not follow yet whom to follow.
func (n *Node) sendLeads() {
	l := n.leader
	interval := n.timing.retry
	if n.now.Sub(l.since) > 2*n.timing.lease {
		interval = n.timing.lease
	}
	for _, p := range l.peers {
		if p.confirmed || n.ledger.announced(p.node) == nil {
			continue
		}
		if p.leadAt != clock.Never && n.now < p.leadAt.Add(interval) {
			continue
		}
		n.sendLead(p)
	}
}

func (n *Node) sendLead(p *peer) {
	p.leadAt = n.now
	n.send(p.node, Message{Lead: &Lead{Term: n.leader.term, Seq: n.leader.leadSeq}})
}

// onRenew grants the sender a lease. A process that does not follow the term
// yet is sent a Lead first: what it held is only known from an answer to that.
func (n *Node) onRenew(from ident.Node, m *Renew) {
	l := n.leader
	if l == nil || m.Term != l.term {
		n.out.ReadLog = n.out.ReadLog || m.Term > n.ledger.Term()
		return
	}
	if n.ledger.ended(from) {
		return
	}
	if n.ledger.announced(from) == nil {
		n.out.ReadLog = true
		return
	}
	p := l.peer(from)
	if p == nil {
		p = &peer{node: from, member: *n.ledger.announced(from)}
		l.peers = append(l.peers, p)
	}
	if !p.confirmed && (m.Lead == 0 || m.Lead > l.leadSeq) {
		n.answerStranger(p)
		return
	}
	p.note(m, n.now)
	l.gate.noteReport(from, m.Report)
	if n.cfg.Balance.Interval > 0 {
		l.balance.noteLoads(m.Load)
	}
	n.updateAuthority()
	n.updateStanding()
	n.sendLease(p, m.Request)
}

// answerStranger tells a process that does not follow the term to do so.
func (n *Node) answerStranger(p *peer) {
	if p.leadAt == clock.Never || n.now >= p.leadAt.Add(n.timing.retry) {
		n.sendLead(p)
	}
}

// note takes in what a Renew says.
func (p *peer) note(m *Renew, now clock.Time) {
	if !p.confirmed {
		p.confirmed = true
		p.listed = m.Holds
		p.seenAt = now
	}
	p.lead = max(p.lead, m.Lead)
	if newer(m.Seen, p.seen) {
		p.seen = m.Seen
		p.seenAt = now
	}
	p.notReady = m.Flags&renewNotReady != 0
	p.leaving = m.Flags&renewLeaving != 0
	p.renewed = now
	p.held = max(p.held, m.Version)
}

// newer reports whether a request number is larger than another; 0 stands for
// none. Numbers wrap around.
func newer(request, than uint32) bool {
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
		p.lapse = max(p.lapse, n.now.Add(n.lapseAfter(time.Duration(micros)*time.Microsecond)))
	}
	if l.gate.open {
		n.updateSent(p)
	}
	m := &Lease{Term: l.term, Request: request, Micros: micros, Version: p.version}
	if unseen {
		m.Flags |= leaseUnseen
	}
	if n.mayLeave(p) {
		m.Flags |= leaseMayLeave
		p.dismissed = true
	}
	n.addGrants(p, m)
	n.send(p.node, Message{Lease: m})
}

// lapseAfter returns the time after which a lease of the duration is over on
// every clock.
func (n *Node) lapseAfter(d time.Duration) time.Duration {
	if n.broken(FaultIgnoreDrift) {
		return d - d/10
	}
	return n.timing.longer(d)
}

// addGrants adds the grants if the process has not confirmed them yet.
func (n *Node) addGrants(p *peer, m *Lease) {
	if p.held >= p.version {
		return
	}
	m.Flags |= leaseGrants
	m.To = p.node.Incarnation
	m.Grants = p.sent
	p.pushed = n.now
}

// updateSent brings the process's grants up to date, under a new version if
// they have changed.
func (n *Node) updateSent(p *peer) bool {
	grants := n.grantsFor(p)
	if p.version > 0 && slices.Equal(grants, p.sent) {
		return false
	}
	p.version++
	p.sent = grants
	return true
}

// pushGrants sends changed grants at once.
func (n *Node) pushGrants() {
	for _, p := range n.leader.peers {
		if p.node == n.self() || !p.confirmed || p.lapse <= n.now {
			continue
		}
		if !n.updateSent(p) && (p.held >= p.version || n.now < p.pushed.Add(n.timing.retry)) {
			continue
		}
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
		if e.grant.Token.Term != l.term && tiled(p.listed, e.grant.Range) {
			grants = append(grants, e.grant)
			continue
		}
		if e.seq > l.table.standing {
			for _, g := range e.before {
				if !slices.Contains(grants, g) {
					grants = append(grants, g)
				}
			}
			continue
		}
		if e.grant.Token.Term != l.term && n.now < l.gate.silentUntil {
			continue
		}
		grants = append(grants, e.grant)
	}
	return grants
}

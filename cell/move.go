package cell

import (
	"slices"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// maxMoves is the maximum number of concurrent handovers of a leader.
const maxMoves = 4

// movePhase is the state of a handover.
type movePhase uint8

const (
	// movePreparing waits until the new owner's target is ready.
	movePreparing movePhase = 1
	// moveReleasing waits until the old owner has released the range.
	moveReleasing movePhase = 2
	// moveReleased waits for the assignment to the new owner.
	moveReleased movePhase = 3
)

// move is the planned handover of a range between two running processes.
type move struct {
	grant         Grant // the grant of the old owner
	to            ident.Node
	phase         movePhase
	since         clock.Time // start of the phase
	requestSentAt clock.Time // when Prepare or Release was last sent
}

// runMoves starts the handovers that are due and continues the others.
func (n *Node) runMoves() {
	l := n.leader
	n.planMoves()
	for _, m := range slices.Clone(l.moves) {
		n.runMove(m)
	}
}

func (n *Node) runMove(m *move) {
	l := n.leader
	e := l.table.entry(m.grant.Range)
	if e == nil || e.grant != m.grant {
		l.endMove(m)
		return
	}
	n.redirect(m)
	switch m.phase {
	case movePreparing:
		n.runPrepare(m)
	case moveReleasing:
		n.runRelease(m)
	case moveReleased:
		n.finishMove(m)
	}
}

// redirect chooses another new owner, or none, for a handover whose new owner no
// longer accepts ranges. This may be the old owner if it has released the range.
func (n *Node) redirect(m *move) {
	if to := n.leader.peer(m.to); to != nil && n.acceptsRanges(to) {
		return
	}
	m.to = n.leastAssigned(m.grant.Owner)
	if m.to.IsZero() && m.phase == moveReleased {
		m.to = n.leastAssigned(ident.Node{})
	}
}

// runPrepare asks the new owner to prepare its target, for DrainLimit at most.
func (n *Node) runPrepare(m *move) {
	if m.to.IsZero() && !n.isLeaving(m.grant.Owner) {
		n.leader.endMove(m)
		return
	}
	if m.to.IsZero() || n.now.Sub(m.since) >= n.cfg.DrainLimit {
		m.setPhase(moveReleasing, n.now)
		n.runRelease(m)
		return
	}
	if m.requestSentAt != clock.Never && n.now < m.requestSentAt.Add(n.timing.renew) {
		return
	}
	m.requestSentAt = n.now
	g := m.grant
	g.Owner = m.to
	if m.to == n.self() {
		n.out.Prepare = append(n.out.Prepare, g)
		return
	}
	n.send(m.to, Message{Prepare: &Prepare{Term: n.leader.term, Grant: g}})
}

// runRelease asks the old owner to release the range, and repeats that until it has.
func (n *Node) runRelease(m *move) {
	if m.requestSentAt != clock.Never && n.now < m.requestSentAt.Add(n.timing.retry) {
		n.wake(m.requestSentAt.Add(n.timing.retry))
		return
	}
	if m.grant.Owner == n.self() {
		m.requestSentAt = n.now
		if slices.Contains(n.follower.grants, m.grant) {
			n.startRelease(m.grant)
			return
		}
		n.releaseGrant(m.grant)
		m.setPhase(moveReleased, n.now)
		return
	}
	from := n.leader.peer(m.grant.Owner)
	if from == nil || from.heldVersion < from.version {
		return
	}
	m.requestSentAt = n.now
	n.send(m.grant.Owner, Message{Release: &Release{Term: n.leader.term, Grant: m.grant}})
}

// finishMove assigns the range to the new owner, or to none. The old owner has
// released the range.
func (n *Node) finishMove(m *move) {
	l := n.leader
	g := m.grant
	g.Owner = m.to
	l.endMove(m)
	l.table.change([]entry{{grant: g}}, n.faultEnabled(FaultTokenReuse))
	l.bumpRevision()
	l.moveTimes = append(l.moveTimes, n.now)
	n.updateCommitted()
}

func (m *move) setPhase(phase movePhase, now clock.Time) {
	m.phase = phase
	m.since = now
	m.requestSentAt = clock.Never
}

func (l *leader) endMove(m *move) {
	l.moves = slices.DeleteFunc(l.moves, func(x *move) bool { return x == m })
}

// moving reports whether the grant is being handed over.
func (l *leader) moving(g Grant) bool {
	return slices.ContainsFunc(l.moves, func(m *move) bool { return m.grant == g })
}

// startMove starts a handover.
func (n *Node) startMove(g Grant, to ident.Node) {
	n.leader.moves = append(n.leader.moves, &move{grant: g, to: to, phase: movePreparing, since: n.now})
}

// targetPrepared records that the new owner's target is ready.
func (l *leader) targetPrepared(g Grant) {
	for _, m := range l.moves {
		if m.phase == movePreparing && m.to == g.Owner && m.grant.Range == g.Range && m.grant.Token == g.Token {
			m.setPhase(moveReleasing, m.since)
		}
	}
}

// rangeReleased records that the owner has released the range. If its handover
// has been cancelled in the meantime, it adds a new one: the range needs an owner.
func (l *leader) rangeReleased(g Grant) {
	if e := l.table.entry(g.Range); e == nil || e.grant != g {
		return
	}
	for _, m := range l.moves {
		if m.grant == g {
			m.phase = moveReleased
			return
		}
	}
	l.moves = append(l.moves, &move{grant: g, phase: moveReleased})
}

// releaseAborted cancels a handover whose requests in flight did not finish in time.
func (l *leader) releaseAborted(g Grant) {
	for _, m := range slices.Clone(l.moves) {
		if m.phase == moveReleasing && m.grant == g {
			l.endMove(m)
		}
	}
}

// onPrepareDone processes the new owner's answer to Prepare.
func (n *Node) onPrepareDone(from ident.Node, m *PrepareDone) {
	if n.leader != nil && m.Term == n.leader.term && m.Grant.Owner == from {
		n.leader.targetPrepared(m.Grant)
	}
}

// onReleaseDone processes the old owner's answer to Release.
func (n *Node) onReleaseDone(from ident.Node, m *ReleaseDone) {
	if n.leader == nil || m.Term != n.leader.term || m.Grant.Owner != from {
		return
	}
	if m.Resumed {
		n.leader.releaseAborted(m.Grant)
		return
	}
	n.leader.rangeReleased(m.Grant)
}

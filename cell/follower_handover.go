package cell

import (
	"slices"

	"github.com/parsleystack/parsleystack/ident"
)

// onPrepare asks the target to get ready for a range.
func (n *Node) onPrepare(from ident.Node, m *Prepare) {
	if n.acceptsLeader(from, m.Term) && m.Term == n.follower.term && m.Grant.Owner == n.self() {
		n.follower.lastContact = n.now
		n.out.Prepare = append(n.out.Prepare, m.Grant)
	}
}

// onPrepared reports to the leader that the target is ready for a range.
func (n *Node) onPrepared(ev Prepared) {
	g := Grant{Range: ev.Range, Owner: n.self(), Token: ev.Token}
	if n.leader != nil {
		n.leader.targetPrepared(g)
		return
	}
	n.send(n.follower.leader, Message{PrepareDone: &PrepareDone{Term: n.follower.term, Grant: g}})
}

// onRelease starts the release of a grant.
func (n *Node) onRelease(from ident.Node, m *Release) {
	f := &n.follower
	if !n.acceptsLeader(from, m.Term) || m.Term != f.term || m.Grant.Owner != n.self() {
		return
	}
	f.lastContact = n.now
	if n.faultEnabled(FaultReleaseEarly) {
		n.send(from, Message{ReleaseDone: &ReleaseDone{Term: f.term, Grant: m.Grant}})
		return
	}
	if !slices.Contains(f.grants, m.Grant) {
		if overlapsAny(f.grants, m.Grant.Range) {
			return
		}
		n.releaseGrant(m.Grant)
		n.send(from, Message{ReleaseDone: &ReleaseDone{Term: f.term, Grant: m.Grant}})
		return
	}
	n.startRelease(m.Grant)
}

// startRelease stops admission for the grant and waits for requests in flight.
func (n *Node) startRelease(g Grant) {
	f := &n.follower
	if f.isReleasing(g) {
		return
	}
	f.releasing = append(f.releasing, releasingGrant{grant: g, since: n.now})
	n.out.Release = append(n.out.Release, Holding{Grant: g, Expires: f.expires, Releasing: true})
}

// onReleased releases a grant whose requests in flight have finished.
func (n *Node) onReleased(ev Released) {
	g := Grant{Range: ev.Range, Owner: n.self(), Token: ev.Token}
	n.follower.drainCompleted(g)
	if !n.follower.isReleasing(g) {
		return
	}
	n.releaseGrant(g)
	if n.leader != nil {
		n.leader.rangeReleased(g)
		return
	}
	n.send(n.follower.leader, Message{ReleaseDone: &ReleaseDone{Term: n.follower.term, Grant: g}})
}

// releaseGrant drops a grant. Its token is not accepted again in this term: the
// leader must grant the range under a new one.
func (n *Node) releaseGrant(g Grant) {
	f := &n.follower
	f.grants = slices.DeleteFunc(slices.Clone(f.grants), func(h Grant) bool { return h == g })
	f.releasing = slices.DeleteFunc(f.releasing, func(r releasingGrant) bool { return r.grant == g })
	if !slices.Contains(f.released, g) {
		f.released = append(f.released, g)
	}
}

// resendReleases repeats the ReleaseDone messages that the leader has not processed.
func (n *Node) resendReleases() {
	f := &n.follower
	for _, g := range f.released {
		n.send(f.leader, Message{ReleaseDone: &ReleaseDone{Term: f.term, Grant: g}})
	}
}

// resumeAdmission admits requests again for grants whose requests in flight did
// not finish within DrainLimit, unless the target is about to stop.
func (n *Node) resumeAdmission() {
	f := &n.follower
	if n.leaving || !n.targetReady || n.cfg.DrainLimit <= 0 {
		return
	}
	for _, r := range slices.Clone(f.releasing) {
		if n.now.Sub(r.since) < n.cfg.DrainLimit {
			continue
		}
		f.releasing = slices.DeleteFunc(f.releasing, func(x releasingGrant) bool { return x == r })
		if n.leader != nil {
			n.leader.releaseAborted(r.grant)
			continue
		}
		n.send(f.leader, Message{ReleaseDone: &ReleaseDone{Term: f.term, Grant: r.grant, Resumed: true}})
	}
}

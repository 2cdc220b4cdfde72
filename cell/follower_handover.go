package cell

import (
	"slices"

	"github.com/parsleystack/parsleystack/ident"
)

// onPrepare has the target get ready for a range.
func (n *Node) onPrepare(from ident.Node, m *Prepare) {
	if n.leads(from, m.Term) && m.Term == n.follower.term && m.Grant.Owner == n.self() {
		n.follower.heard = n.now
		n.out.Prepare = append(n.out.Prepare, m.Grant)
	}
}

// preparedLocally reports to the leader that the target is ready for a range.
func (n *Node) preparedLocally(ev Prepared) {
	g := Grant{Range: ev.Range, Owner: n.self(), Token: ev.Token}
	if n.leader != nil {
		n.leader.prepared(g)
		return
	}
	n.send(n.follower.leader, Message{PrepareDone: &PrepareDone{Term: n.follower.term, Grant: g}})
}

// onRelease starts to give a grant up.
func (n *Node) onRelease(from ident.Node, m *Release) {
	f := &n.follower
	if !n.leads(from, m.Term) || m.Term != f.term || m.Grant.Owner != n.self() {
		return
	}
	f.heard = n.now
	if n.broken(FaultReleaseEarly) {
		n.send(from, Message{ReleaseDone: &ReleaseDone{Term: f.term, Grant: m.Grant}})
		return
	}
	if !slices.Contains(f.grants, m.Grant) {
		if overlapsAny(f.grants, m.Grant.Range) {
			return
		}
		n.drop(m.Grant)
		n.send(from, Message{ReleaseDone: &ReleaseDone{Term: f.term, Grant: m.Grant}})
		return
	}
	n.startRelease(m.Grant)
}

// startRelease refuses new requests of the grant and waits for work in flight.
func (n *Node) startRelease(g Grant) {
	f := &n.follower
	if f.releases(g) {
		return
	}
	f.releasing = append(f.releasing, releasing{grant: g, since: n.now})
	n.out.Release = append(n.out.Release, Holding{Grant: g, Expires: f.expires, Releasing: true})
}

// releasedLocally gives up a grant whose work in flight has ended.
func (n *Node) releasedLocally(ev Released) {
	g := Grant{Range: ev.Range, Owner: n.self(), Token: ev.Token}
	n.follower.lostWorkEnded(g)
	if !n.follower.releases(g) {
		return
	}
	n.drop(g)
	if n.leader != nil {
		n.leader.released(g)
		return
	}
	n.send(n.follower.leader, Message{ReleaseDone: &ReleaseDone{Term: n.follower.term, Grant: g}})
}

// drop gives a grant up. It is not taken back before the leader has granted
// the range anew.
func (n *Node) drop(g Grant) {
	f := &n.follower
	f.grants = slices.DeleteFunc(slices.Clone(f.grants), func(h Grant) bool { return h == g })
	f.releasing = slices.DeleteFunc(f.releasing, func(r releasing) bool { return r.grant == g })
	if !slices.Contains(f.dropped, g) {
		f.dropped = append(f.dropped, g)
	}
}

// repeatReleases reports again the releases that the leader has not acted on.
func (n *Node) repeatReleases() {
	f := &n.follower
	for _, g := range f.dropped {
		n.send(f.leader, Message{ReleaseDone: &ReleaseDone{Term: f.term, Grant: g}})
	}
}

// resumeReleasing takes up admission again where work in flight has not ended
// within the limit, unless the target is to stop.
func (n *Node) resumeReleasing() {
	f := &n.follower
	if n.leaving || !n.ready || n.cfg.DrainLimit <= 0 {
		return
	}
	for _, r := range slices.Clone(f.releasing) {
		if n.now.Sub(r.since) < n.cfg.DrainLimit {
			continue
		}
		f.releasing = slices.DeleteFunc(f.releasing, func(x releasing) bool { return x == r })
		if n.leader != nil {
			n.leader.resumedRelease(r.grant)
			continue
		}
		n.send(f.leader, Message{ReleaseDone: &ReleaseDone{Term: f.term, Grant: r.grant, Resumed: true}})
	}
}

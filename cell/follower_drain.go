package cell

import (
	"slices"

	"github.com/parsleystack/parsleystack/clock"
)

// lostGrant is a grant that ran out or was taken away while work of it may
// have been in flight. A planned stop waits for that work.
type lostGrant struct {
	grant Grant
	since clock.Time
	asked bool // the driver has been asked to report the end of the work
}

// noteLost keeps the grants that were held before and are not any more, unless
// their release was reported.
func (n *Node) noteLost(before, after []Holding) {
	f := &n.follower
	for _, h := range before {
		held := slices.ContainsFunc(after, func(x Holding) bool { return x.Grant.Range.Overlaps(h.Grant.Range) })
		if !held && !slices.Contains(f.dropped, h.Grant) {
			f.lost = append(f.lost, lostGrant{grant: h.Grant, since: n.now})
		}
	}
	f.lost = slices.DeleteFunc(f.lost, func(l lostGrant) bool {
		return slices.ContainsFunc(after, func(x Holding) bool { return x.Grant.Range == l.grant.Range })
	})
}

// drained reports whether no work of lost grants is in flight, and asks the
// driver where that is not known.
func (n *Node) drained() bool {
	f := &n.follower
	f.lost = slices.DeleteFunc(f.lost, func(l lostGrant) bool { return n.now.Sub(l.since) >= n.cfg.DrainLimit })
	for i := range f.lost {
		l := &f.lost[i]
		if l.asked {
			n.wake(l.since.Add(n.cfg.DrainLimit))
			continue
		}
		l.asked = true
		n.out.Release = append(n.out.Release, Holding{Grant: l.grant, Expires: f.expires, Releasing: true})
	}
	return len(f.lost) == 0 && len(n.emitted) == 0
}

// lostWorkEnded notes that no work of the grant is in flight any more.
func (f *follower) lostWorkEnded(g Grant) {
	f.lost = slices.DeleteFunc(f.lost, func(l lostGrant) bool { return l.grant == g })
}

package cell

import (
	"slices"

	"github.com/parsleystack/parsleystack/clock"
)

// unreleasedGrant is a grant that ran out or was taken away while work of it may
// have been in flight. A planned stop waits for that work.
type unreleasedGrant struct {
	grant Grant
	since clock.Time
	asked bool // the driver has been asked to report the end of the work
}

// recordUnreleased keeps the grants that were held before and are not any more, unless
// their release was reported.
func (n *Node) recordUnreleased(before, after []Holding) {
	f := &n.follower
	for _, h := range before {
		held := slices.ContainsFunc(after, func(x Holding) bool { return x.Grant.Range.Overlaps(h.Grant.Range) })
		if !held && !slices.Contains(f.released, h.Grant) {
			f.unreleased = append(f.unreleased, unreleasedGrant{grant: h.Grant, since: n.now})
		}
	}
	f.unreleased = slices.DeleteFunc(f.unreleased, func(l unreleasedGrant) bool {
		return slices.ContainsFunc(after, func(x Holding) bool { return x.Grant.Range == l.grant.Range })
	})
}

// drained reports whether no work of lost grants is in flight, and asks the
// driver where that is not known.
func (n *Node) drained() bool {
	f := &n.follower
	f.unreleased = slices.DeleteFunc(f.unreleased, func(l unreleasedGrant) bool { return n.now.Sub(l.since) >= n.cfg.DrainLimit })
	for i := range f.unreleased {
		l := &f.unreleased[i]
		if l.asked {
			n.wake(l.since.Add(n.cfg.DrainLimit))
			continue
		}
		l.asked = true
		n.out.Release = append(n.out.Release, Holding{Grant: l.grant, Expires: f.expires, Releasing: true})
	}
	return len(f.unreleased) == 0 && len(n.lastHoldings) == 0
}

// workEnded notes that no work of the grant is in flight any more.
func (f *follower) workEnded(g Grant) {
	f.unreleased = slices.DeleteFunc(f.unreleased, func(l unreleasedGrant) bool { return l.grant == g })
}

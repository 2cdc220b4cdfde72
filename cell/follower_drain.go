package cell

import (
	"slices"

	"github.com/parsleystack/parsleystack/clock"
)

// unreleasedGrant is a grant that expired or was revoked while requests may have
// been in flight. A planned stop waits for them to finish.
type unreleasedGrant struct {
	grant            Grant
	since            clock.Time
	releaseRequested bool // Effects.Release has listed the grant; Released answers it
}

// recordUnreleased records the grants that are no longer held, except those whose
// release was reported.
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

// drained reports whether no requests of unreleased grants are in flight. It asks
// the driver about grants for which this is unknown.
func (n *Node) drained() bool {
	f := &n.follower
	f.unreleased = slices.DeleteFunc(f.unreleased, func(l unreleasedGrant) bool { return n.now.Sub(l.since) >= n.cfg.DrainLimit })
	for i := range f.unreleased {
		l := &f.unreleased[i]
		if l.releaseRequested {
			n.wake(l.since.Add(n.cfg.DrainLimit))
			continue
		}
		l.releaseRequested = true
		n.out.Release = append(n.out.Release, Holding{Grant: l.grant, Expires: f.expires, Releasing: true})
	}
	return len(f.unreleased) == 0 && len(n.lastHoldings) == 0
}

// drainCompleted records that no requests of the grant are in flight.
func (f *follower) drainCompleted(g Grant) {
	f.unreleased = slices.DeleteFunc(f.unreleased, func(l unreleasedGrant) bool { return l.grant == g })
}

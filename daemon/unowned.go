package daemon

import (
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
)

// unowned adds up the time for which ranges of a cell have no owner in its
// leader's assignments. A lost owner counts as owner until its lease has
// lapsed.
type unowned struct {
	ranges int        // without owner since at
	at     clock.Time // clock.Never if the process did not lead then
}

// step takes the newest view and returns the time that has passed since the
// last one, times the ranges that had no owner.
func (u *unowned) step(v *cell.View, now clock.Time) time.Duration {
	var passed time.Duration
	if u.at != clock.Never {
		passed = now.Sub(u.at) * time.Duration(u.ranges)
	}
	if v.Leader.IsZero() || v.Self != v.Leader {
		*u = unowned{}
		return passed
	}
	*u = unowned{ranges: withoutOwner(v), at: now}
	return passed
}

// withoutOwner returns the number of ranges that nobody is granted. A leader
// that waits for an older pair grants none.
func withoutOwner(v *cell.View) int {
	if v.Activating {
		return len(v.Assignments)
	}
	n := 0
	for _, g := range v.Assignments {
		if g.Owner.IsZero() {
			n++
		}
	}
	return n
}

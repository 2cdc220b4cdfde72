package daemon

import (
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
)

// unowned sums the time for which ranges of a cell have no owner in its leader's
// assignments. A failed owner counts as owner until its lease has expired.
type unowned struct {
	count int        // number of ranges without owner since at
	at    clock.Time // time of the last step; clock.Never if the process was not leader then
}

// step updates the state with the newest view and returns the time since the
// previous one, multiplied by the number of ranges that had no owner.
func (u *unowned) step(v *cell.View, now clock.Time) time.Duration {
	var passed time.Duration
	if u.at != clock.Never {
		passed = now.Sub(u.at) * time.Duration(u.count)
	}
	if v.Leader.IsZero() || v.Self != v.Leader {
		*u = unowned{}
		return passed
	}
	*u = unowned{count: withoutOwner(v), at: now}
	return passed
}

// withoutOwner returns the number of ranges that are granted to no member. A
// leader that waits for an older leader and deputy grants no range.
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

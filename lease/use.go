package lease

import (
	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/keyspace"
)

// Use is one request in flight under a grant. The zero Use holds nothing.
type Use struct {
	Point keyspace.Point
	// HeldSince is the start of the unbroken time for which the local process had
	// held the point when the use was acquired.
	HeldSince clock.Time

	acquired clock.Time
	table    *Table
	count    *counter
}

// Check returns the grant that covers the use's point at now, the end of its
// lease and whether it is held. The token may be newer than at the time of
// Acquire, since a range may be split or merged in between, but the point has
// been held without a break: otherwise the verdict is NotHeld.
func (u *Use) Check(now clock.Time) (cell.Grant, clock.Time, Verdict) {
	e := u.table.current.Load().find(u.Point)
	if e == nil || e.since > u.acquired {
		return cell.Grant{}, clock.Never, NotHeld
	}
	return e.holding.Grant, e.holding.Expires, e.verdict(now)
}

// Release ends the use. It must be called exactly once for each acquired Use.
func (u *Use) Release() {
	count := u.count
	u.count = nil
	left := count.inFlight.Add(-1)
	if left == 0 && u.table.waiting.Load() > 0 {
		u.table.notify()
	}
}

// Valid reports whether the use is acquired and not released.
func (u *Use) Valid() bool { return u.count != nil }

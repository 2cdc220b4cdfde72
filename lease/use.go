package lease

import (
	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/keyspace"
)

// Use is a reference to a grant by one request in flight. The zero Use refers
// to no grant.
type Use struct {
	Point keyspace.Point
	// HeldSince is the time since when the local process had held the point
	// without interruption when the Use was acquired.
	HeldSince clock.Time

	acquiredAt clock.Time
	table      *Table
	counter    *counter
}

// Check returns the grant that covers the point of the Use at now, the expiry of
// its lease and whether the point may be served. The token may be newer than at
// the time of Acquire, since ranges may have been split or merged. If the point
// has not been held without interruption since then, the verdict is NotHeld.
func (u *Use) Check(now clock.Time) (cell.Grant, clock.Time, Verdict) {
	e := u.table.current.Load().find(u.Point)
	if e == nil || e.heldSince > u.acquiredAt {
		return cell.Grant{}, clock.Never, NotHeld
	}
	return e.holding.Grant, e.holding.Expires, e.verdict(now)
}

// Release drops the reference. It must be called exactly once for each acquired
// Use.
func (u *Use) Release() {
	count := u.counter
	u.counter = nil
	left := count.inFlight.Add(-1)
	if left == 0 && u.table.numWaiters.Load() > 0 {
		u.table.notify()
	}
}

// Valid reports whether the Use has been acquired and not yet released.
func (u *Use) Valid() bool { return u.counter != nil }

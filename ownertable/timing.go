package ownertable

import "time"

const (
	// LeaseTime is how long a daemon may grant after its lease was confirmed.
	// It spans the time between two heartbeats of a target, 0.9 to 1.5 s, with
	// the age of the newest confirmation and one that is late. With the detection
	// of a silent daemon it bounds how long keys of a lost one wait.
	LeaseTime = 3 * time.Second
	// MaxUnconfirmed is the longest time without the store in which the
	// promises of the other members keep a lease. Outages of the store last
	// about 9 s.
	MaxUnconfirmed = 20 * time.Second
	// clockDrift is the share by which the clock of a target may run slow.
	clockDrift = 0.02
	// holdMargin is kept between the end of a hold and that of the lease.
	holdMargin = 50 * time.Millisecond
	// minHold is the shortest hold worth granting.
	minHold = 300 * time.Millisecond
	// graceAfterLease covers differences between clocks when a row is taken
	// from a daemon that does not answer.
	graceAfterLease = 150 * time.Millisecond
)

// TakeoverWait returns how long after the revocation of a row was read the row
// is free if its owner has not let go. An established member is one that all
// others have known for MaxUnconfirmed.
func TakeoverWait(established bool) time.Duration {
	if established {
		return stretched(LeaseTime) + graceAfterLease
	}
	return stretched(MaxUnconfirmed) + graceAfterLease
}

// HoldTime returns the hold to grant when the lease lasts for left, at most
// longest. It returns 0 if the lease is too short to grant anything.
func HoldTime(left, longest time.Duration) time.Duration {
	hold := min(time.Duration(float64(left)/(1+clockDrift))-holdMargin, longest)
	if hold < minHold {
		return 0
	}
	return hold
}

// HoldEnds returns the time after which a hold granted for d has surely ended.
func HoldEnds(d time.Duration) time.Duration { return stretched(d) + graceAfterLease }

func stretched(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + clockDrift))
}

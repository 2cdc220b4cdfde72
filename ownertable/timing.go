package ownertable

import "time"

const (
	// LeaseTime is how long a daemon may grant shards after its lease was
	// confirmed. It covers the interval between two heartbeats of a target (0.9
	// to 1.5 s), the age of the newest confirmation and one late confirmation.
	// Together with the time to suspect a daemon it bounds how long the keys of
	// a failed daemon are unavailable.
	LeaseTime = 3 * time.Second
	// MaxUnconfirmed is the longest time since the last read of the store during
	// which extensions by the other members keep a lease valid. Outages of the
	// store last about 9 s.
	MaxUnconfirmed = 20 * time.Second
	// MaxCopyAge is the greatest age of the copy that a store comes back from; the
	// platform's pages say some seconds. In a store that has eras, a lease depends
	// on extensions only if the daemon's record is older than that, because a
	// member whose record was lost with the newest ones is unknown to the others.
	MaxCopyAge = 15 * time.Second
	// maxClockDrift is the largest relative error by which the clock of a target
	// may run slow.
	maxClockDrift = 0.02
	// grantMargin is the margin between the expiry of a grant and that of the
	// lease.
	grantMargin = 50 * time.Millisecond
	// minGrantTTL is the shortest TTL for which a grant is issued.
	minGrantTTL = 300 * time.Millisecond
	// clockSkewGrace covers clock differences when a shard is reassigned while
	// its owner's daemon does not respond.
	clockSkewGrace = 150 * time.Millisecond
)

// TakeoverWait returns how long after reading the revocation of a shard a
// daemon may reassign the shard if its owner has not released it. established
// says that all other members have had this member in the directory for
// MaxUnconfirmed.
func TakeoverWait(established bool) time.Duration {
	if established {
		return withClockDrift(LeaseTime) + clockSkewGrace
	}
	return withClockDrift(MaxUnconfirmed) + clockSkewGrace
}

// GrantTTL returns the TTL of a grant for a lease that is valid for another left.
// The TTL is at most longest. It is 0 if the lease is too short for a grant.
func GrantTTL(left, longest time.Duration) time.Duration {
	ttl := min(time.Duration(float64(left)/(1+maxClockDrift))-grantMargin, longest)
	if ttl < minGrantTTL {
		return 0
	}
	return ttl
}

// GrantExpiryBound returns how long after a grant with the TTL d was issued it has
// expired at the target, with the largest clock drift and skew.
func GrantExpiryBound(d time.Duration) time.Duration { return withClockDrift(d) + clockSkewGrace }

func withClockDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + maxClockDrift))
}

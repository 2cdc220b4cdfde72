package fleet

import "time"

const (
	// minStatusInterval is the time between statuses in a small fleet. The
	// minimum suspect timeout, 1 s, is two and a half intervals.
	minStatusInterval = 400 * time.Millisecond
	// ownServiceStatusesPerS bounds the statuses per second that a daemon sends
	// to daemons of its own service, whose leases and keys depend on them.
	ownServiceStatusesPerS = 100
	// otherServicesStatusesPerS bounds the statuses per second to daemons of
	// other services. These use them for placement only and also receive loads
	// with responses.
	otherServicesStatusesPerS = 40
	// suspectIntervals is the number of intervals without a status after which a
	// daemon is suspected. It tolerates one lost status and jitter.
	suspectIntervals = 2.5
)

// StatusInterval returns the interval of the statuses that a daemon sends to each of
// n daemons: those of its own service if own is set, else those of all other
// services.
func StatusInterval(n int, own bool) time.Duration {
	perS := otherServicesStatusesPerS
	if own {
		perS = ownServiceStatusesPerS
	}
	return max(minStatusInterval, time.Duration(n)*time.Second/time.Duration(perS))
}

// maxStatusInterval caps the declared status interval of a peer, so that a
// wrong one can't delay the suspicion of that peer without bound.
const maxStatusInterval = 20 * time.Second

// suspectTimeoutFor returns the suspect timeout for a daemon that sends its
// statuses at the interval.
func suspectTimeoutFor(interval time.Duration) time.Duration {
	return max(SuspectTimeout, time.Duration(suspectIntervals*float64(min(interval, maxStatusInterval))))
}

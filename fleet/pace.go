package fleet

import "time"

const (
	// statusInterval is the time between statuses in a small fleet. Two and a
	// half of them pass within SilentAfter.
	statusInterval = 400 * time.Millisecond
	// ownPerS bounds the statuses a second that a daemon sends to the daemons of
	// its own service, whose leases and keys depend on them.
	ownPerS = 100
	// otherPerS bounds those to the daemons of other services, which need them
	// for placement only and also learn loads from answers.
	otherPerS = 40
	// silentIntervals is the number of intervals without a status after which a
	// daemon counts as lost. It covers one lost status and jitter.
	silentIntervals = 2.5
)

// Interval returns the time between statuses to each of n daemons of the own
// service, or of other services.
func Interval(n int, own bool) time.Duration {
	perS := otherPerS
	if own {
		perS = ownPerS
	}
	return max(statusInterval, time.Duration(n)*time.Second/time.Duration(perS))
}

// maxEvery bounds the interval that a daemon may claim for its statuses.
const maxEvery = 20 * time.Second

// silentAfter returns how long a daemon that sends at an interval may be
// unheard.
func silentAfter(interval time.Duration) time.Duration {
	return max(SilentAfter, time.Duration(silentIntervals*float64(min(interval, maxEvery))))
}

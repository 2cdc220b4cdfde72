package sidecar

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

const (
	// callerDrainTime is how long a stopping daemon still accepts requests of
	// callers, so that two readiness checks fail before it refuses any.
	callerDrainTime = 2300 * time.Millisecond
	// targetDrainTime is how long the target may take after that to finish its
	// requests, including calls that it makes itself. At the end of the grace time
	// the platform allows a daemon to abort requests that it read within 3 s of
	// SIGTERM, but no later ones.
	targetDrainTime = 600 * time.Millisecond
	// stopMargin is the part of the grace time that is reserved for the last answers and
	// the exit of the process.
	stopMargin = 700 * time.Millisecond
	// The phases of a stop take at most these shares of the grace time. The platform allows
	// a daemon to abort requests in the last sixth.
	maxCallerDrainShare = 0.4
	maxTargetDrainShare = 0.1
	maxStopMarginShare  = 0.125
)

// stopSchedule holds the times at which the phases of a planned stop begin; Daemon.stop has
// what they are. It does not change. Requests are checked against it rather than against the
// progress of the stop, which is late on a busy machine.
type stopSchedule struct {
	closes  clock.Time // the target gets no more requests
	refuses clock.Time // requests of callers are refused
	ends    clock.Time // requests that are still in progress are answered without a result
	exits   clock.Time // the platform ends the process
}

func newStopSchedule(start clock.Time, grace time.Duration) *stopSchedule {
	share := func(longest time.Duration, of float64) time.Duration {
		return min(longest, time.Duration(of*float64(grace)))
	}
	closes := start.Add(share(callerDrainTime, maxCallerDrainShare))
	return &stopSchedule{
		closes: closes, refuses: closes.Add(share(targetDrainTime, maxTargetDrainShare)),
		ends: start.Add(grace - share(stopMargin, maxStopMarginShare)), exits: start.Add(grace),
	}
}

// The methods of a nil schedule are those of a daemon that is not stopping.

func (s *stopSchedule) closed(now clock.Time) bool { return s != nil && !now.Before(s.closes) }

func (s *stopSchedule) refusing(now clock.Time) bool { return s != nil && !now.Before(s.refuses) }

// limit returns a deadline, or the end of the schedule if that is earlier.
func (s *stopSchedule) limit(deadline clock.Time) clock.Time {
	if s == nil || deadline.Before(s.ends) {
		return deadline
	}
	return s.ends
}

// exitStep returns how long one of the last steps before the exit may take: its own limit, or
// half of the time left, so that the process ends by itself.
func (s *stopSchedule) exitStep(longest time.Duration, now clock.Time) time.Duration {
	if s == nil {
		return longest
	}
	return max(min(longest, s.exits.Sub(now)/2), stopPoll)
}

package clock

import "time"

// epochBoot is a reading of CLOCK_BOOTTIME, epochTime a slightly later one of
// Go's monotonic clock, so that Fast is never ahead of Now.
var (
	epochBoot = Now()
	epochTime = time.Now()
)

// Fast returns a reading that equals Now as long as the instance has not been
// suspended since the process started, and is earlier afterwards. It makes no
// system call. Use it for durations and deadlines, but use Now to check whether
// a lease is valid.
func Fast() Time { return epochBoot.Add(time.Since(epochTime)) }

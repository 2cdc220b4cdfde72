package clock

import "time"

// epoch pairs a reading of CLOCK_BOOTTIME with one of Go's monotonic clock
// that is not earlier.
var (
	epochBoot = Now()
	epochTime = time.Now()
)

// Fast returns a reading that equals Now while the instance has not been
// suspended since the process started, and is earlier after that. It costs no
// system call. It is meant for durations and deadlines; whether a lease is
// held is decided with Now.
func Fast() Time { return epochBoot.Add(time.Since(epochTime)) }

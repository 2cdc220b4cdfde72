package measure

import (
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// CPUTime returns the processor time of this process.
func CPUTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		panic("measure: getrusage is not available: " + err.Error())
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuRounds is the number of rounds whose median CPUPerCall takes.
const cpuRounds = 5

// CPUPerCall returns the processor time of this process for one call, in
// nanoseconds: the median of several rounds of n calls each.
func CPUPerCall(n int, call func() error) (float64, error) {
	var rounds []float64
	for range cpuRounds {
		before := CPUTime()
		for range n {
			if err := call(); err != nil {
				return 0, err
			}
		}
		rounds = append(rounds, float64(CPUTime()-before)/float64(n))
	}
	slices.Sort(rounds)
	return rounds[cpuRounds/2], nil
}

// ThreadCPUTime returns the processor time of the calling thread. Differences
// count for a goroutine that is locked to its thread.
func ThreadCPUTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		panic("measure: the thread's processor time is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

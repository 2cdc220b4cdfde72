package measure

import (
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// CPUTime returns the user and system CPU time of this process.
func CPUTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		panic("measure: getrusage failed: " + err.Error())
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuRounds is the number of rounds of which CPUPerCall returns the median.
const cpuRounds = 5

// CPUPerCall returns the CPU time of this process per call, in nanoseconds: the
// median over cpuRounds rounds of n calls each. It stops at the first error of call
// and returns it.
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

// ThreadCPUTime returns the CPU time of the calling thread. The difference of two
// results is meaningful only if the goroutine is locked to its thread.
func ThreadCPUTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		panic("measure: cannot read the CPU time of the thread: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

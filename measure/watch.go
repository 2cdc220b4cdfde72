package measure

import "time"

// Usage is the CPU time and memory that a process used during Watch.
type Usage struct {
	CPU      time.Duration
	Elapsed  time.Duration
	RSSBytes uint64 // at the end of the period
}

// CPUPerSecond returns the CPU time per second, in nanoseconds.
func (u Usage) CPUPerSecond() float64 { return float64(u.CPU) / u.Elapsed.Seconds() }

// Watch waits for d and returns the usage of each process in that time.
func Watch(processes []Process, d time.Duration) ([]Usage, error) {
	before, err := cpuTimes(processes)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	time.Sleep(d)
	after, err := cpuTimes(processes)
	if err != nil {
		return nil, err
	}
	elapsed := time.Since(start)
	uses := make([]Usage, len(processes))
	for i, p := range processes {
		uses[i] = Usage{CPU: after[i] - before[i], Elapsed: elapsed, RSSBytes: ProcessRSS(p.PID)}
	}
	return uses, nil
}

func cpuTimes(processes []Process) ([]time.Duration, error) {
	var times []time.Duration
	for _, p := range processes {
		d, err := ProcessCPU(p.PID)
		if err != nil {
			return nil, err
		}
		times = append(times, d)
	}
	return times, nil
}

package measure

import "time"

// Use is what a process used while it was watched.
type Use struct {
	CPU      time.Duration
	Time     time.Duration
	RSSBytes uint64 // at the end
}

// CPUPerSecond returns the processor time in one second, in nanoseconds.
func (u Use) CPUPerSecond() float64 { return float64(u.CPU) / u.Time.Seconds() }

// Watch returns what processes use within d.
func Watch(processes []Process, d time.Duration) ([]Use, error) {
	before, err := cpuOf(processes)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	time.Sleep(d)
	after, err := cpuOf(processes)
	if err != nil {
		return nil, err
	}
	elapsed := time.Since(start)
	uses := make([]Use, len(processes))
	for i, p := range processes {
		uses[i] = Use{CPU: after[i] - before[i], Time: elapsed, RSSBytes: ProcessRSS(p.PID)}
	}
	return uses, nil
}

func cpuOf(processes []Process) ([]time.Duration, error) {
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

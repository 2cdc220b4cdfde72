package measure

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of the CPU times in /proc.
const clockTick = 10 * time.Millisecond

// Process is a process whose CPU time and memory are measured.
type Process struct {
	Label string
	PID   int
}

// ParseProcess parses a process of the form label=pid.
func ParseProcess(s string) (Process, error) {
	label, pid, found := strings.Cut(s, "=")
	n, err := strconv.Atoi(pid)
	if !found || err != nil {
		return Process{}, fmt.Errorf("measure: process %q is not of the form label=pid", s)
	}
	return Process{Label: label, PID: n}, nil
}

// ProcessCPU returns the user and system CPU time of a process since its start.
func ProcessCPU(pid int) (time.Duration, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("measure: CPU time of process %d: %w", pid, err)
	}
	// The second field, the name in parentheses, may contain spaces.
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	const user, system = 11, 12
	if len(fields) <= system {
		return 0, fmt.Errorf("measure: CPU time of process %d: /proc/PID/stat has too few fields", pid)
	}
	ticks := 0
	for _, f := range [][]byte{fields[user], fields[system]} {
		n, err := strconv.Atoi(string(f))
		if err != nil {
			return 0, fmt.Errorf("measure: CPU time of process %d: %w", pid, err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

// ProcessRSS returns the resident memory of a process in bytes, or 0 if it cannot
// be read.
func ProcessRSS(pid int) uint64 {
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := bytes.Fields(statm)
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseUint(string(fields[1]), 10, 64)
	if err != nil {
		return 0
	}
	return pages * uint64(os.Getpagesize())
}

package celltest

import (
	"time"
)

// Profile selects the faults of a schedule and what is asserted of it.
type Profile string

const (
	// Single has one loss at a time: every point is served again within
	// ServeAgain and no lease of a healthy owner lapses.
	Single Profile = "single"
	// Chaos has any faults at any time.
	Chaos Profile = "chaos"
	// LogTrouble has mostly faults of the log, short retention included.
	LogTrouble Profile = "log"
	// Churn has mostly kills, restarts and planned stops.
	Churn Profile = "churn"
	// Corner has combinations of faults that lead into rare states.
	Corner Profile = "corner"
)

// Profiles lists all profiles.
var Profiles = []Profile{Single, Chaos, LogTrouble, Churn, Corner}

// Schedule is all that a run of a world depends on.
type Schedule struct {
	Seed    int64
	Profile Profile
	Size    int // number of instances
	Rule    string
	Faults  []Fault
}

// Warmup is the time before the first fault.
const Warmup = 12 * time.Second

// FaultsEnd returns the time at which the last fault is over.
func (s *Schedule) FaultsEnd() time.Duration {
	end := Warmup
	for _, f := range s.Faults {
		end = max(end, f.End())
	}
	return end
}

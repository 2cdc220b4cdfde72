package celltest

import (
	"time"
)

// Profile selects the faults of a schedule and the bounds that are checked.
type Profile string

const (
	// Single has one failure at a time: every point is served again within
	// FailoverBound and no lease of a healthy owner expires.
	Single Profile = "single"
	// Chaos has random faults at random times.
	Chaos Profile = "chaos"
	// LogTrouble has mostly faults of the log, and in half of the worlds a short
	// retention time.
	LogTrouble Profile = "log"
	// Churn has mostly kills, restarts and planned stops.
	Churn Profile = "churn"
	// Corner has combinations of faults that lead to rare states.
	Corner Profile = "corner"
)

// Profiles lists all profiles.
var Profiles = []Profile{Single, Chaos, LogTrouble, Churn, Corner}

// Schedule determines a run of a world completely.
type Schedule struct {
	Seed    int64
	Profile Profile
	Size    int    // number of instances
	Rule    string // name of the rule in ProtocolRules to disable, if any
	Faults  []Fault
}

// Warmup is the time before the earliest fault.
const Warmup = 12 * time.Second

// FaultsEnd returns the time at which the last fault is over.
func (s *Schedule) FaultsEnd() time.Duration {
	end := Warmup
	for _, f := range s.Faults {
		end = max(end, f.End())
	}
	return end
}

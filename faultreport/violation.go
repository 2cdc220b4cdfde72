package faultreport

// Kinds of violations.
const (
	CutByDrain       = "cut-by-drain"       // a request did not end at a target that was drained
	TwoWinners       = "two-winners"        // two conflicting changes were both accepted
	ConfigLost       = "configuration-lost" // an accepted change is not in force at the end
	ConfigReverted   = "config-reverted"    // a daemon went back to an older configuration
	ConfigUnexpected = "config-unexpected"  // a version is in force that nobody published
	Unreachable      = "unreachable-at-end" // a daemon does not answer at the end
)

// Violation is one broken promise.
type Violation struct {
	Kind   string
	Detail string
}

func (v Violation) String() string { return v.Kind + ": " + v.Detail }

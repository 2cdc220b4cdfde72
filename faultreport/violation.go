package faultreport

// Kinds of violations.
const (
	CutByDrain       = "cut-by-drain"       // a request did not complete at a drained target
	TwoWinners       = "two-winners"        // two conflicting publishes were both accepted
	ConfigLost       = "configuration-lost" // a daemon runs without an accepted change at the end
	ConfigReverted   = "config-reverted"    // a daemon applied an older configuration than before
	ConfigUnexpected = "config-unexpected"  // a daemon runs with a version that was not published
	Unreachable      = "unreachable-at-end" // a daemon does not respond at the end
)

// Violation is one violated guarantee.
type Violation struct {
	Kind   string
	Detail string
}

func (v Violation) String() string { return v.Kind + ": " + v.Detail }

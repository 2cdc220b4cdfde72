package celltest

import (
	"fmt"
	"time"
)

// Invariant is a property that must hold in every world.
type Invariant string

const (
	// OneHolder: at any true time, at most one process holds an unexpired lease
	// on a point.
	OneHolder Invariant = "one-holder"
	// TokensGrow: the fencing tokens in use for a point never decrease.
	TokensGrow Invariant = "tokens-grow"
	// AcknowledgedStays: an acknowledged grant is not lost unless its leader and
	// its deputy both fail before it is in the log.
	AcknowledgedStays Invariant = "acknowledged-stays"
	// InsideLease: no request is passed to a target outside a lease, and no
	// lease is longer than the lease duration.
	InsideLease Invariant = "inside-lease"
	// SamePrefix: all readers of the same prefix of the log agree on term,
	// leader and deputy.
	SamePrefix Invariant = "same-prefix"
	// NoCutWork: a planned move or stop interrupts no request in flight within
	// the drain limit.
	NoCutWork Invariant = "no-cut-work"
	// ServedAgain: every point has an owner again within the time bound of the
	// profile.
	ServedAgain Invariant = "served-again"
	// NoLapse: no lease of a healthy owner expires during a single failure.
	NoLapse Invariant = "no-lapse"
	// NoPanic: the state machine does not panic.
	NoPanic Invariant = "no-panic"
)

// Violation reports an invariant that did not hold.
type Violation struct {
	Invariant Invariant
	At        time.Duration // simulated true time
	Step      int64         // steps of all state machines before the violation
	Detail    string
}

func (v *Violation) Error() string {
	return fmt.Sprintf("invariant %s violated at %v, step %d: %s; replay the trace to reproduce it", v.Invariant, v.At, v.Step, v.Detail)
}

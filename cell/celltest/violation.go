package celltest

import (
	"fmt"
	"time"
)

// Invariant is a property that holds in every world.
type Invariant string

const (
	// OneHolder: at most one unexpired holder of a point over true time.
	OneHolder Invariant = "one-holder"
	// TokensGrow: tokens in use over a point only grow.
	TokensGrow Invariant = "tokens-grow"
	// AcknowledgedStays: an acknowledged grant is never forgotten.
	AcknowledgedStays Invariant = "acknowledged-stays"
	// InsideLease: no request is handed to a target outside its lease.
	InsideLease Invariant = "inside-lease"
	// SamePrefix: all readers of one prefix of the log agree on the roles.
	SamePrefix Invariant = "same-prefix"
	// NoCutWork: a planned move or stop leaves no work in flight.
	NoCutWork Invariant = "no-cut-work"
	// ServedAgain: every point has an owner again within the stated time.
	ServedAgain Invariant = "served-again"
	// NoLapse: no lease of a healthy owner lapses when one part is lost.
	NoLapse Invariant = "no-lapse"
	// NoPanic: the state machine does not panic.
	NoPanic Invariant = "no-panic"
)

// Violation reports an invariant that did not hold.
type Violation struct {
	Invariant Invariant
	At        time.Duration // true time of the world
	Step      int64
	Detail    string
}

func (v *Violation) Error() string {
	return fmt.Sprintf("invariant %s violated at %v, step %d: %s; replay the trace to see it again", v.Invariant, v.At, v.Step, v.Detail)
}

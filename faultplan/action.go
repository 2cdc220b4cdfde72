package faultplan

import (
	"fmt"
	"time"
)

// Losses says how many instances of a cell a fault takes at a time.
type Losses string

const (
	One Losses = "one" // within the tolerance that the system claims
	Two Losses = "two" // availability is not promised
)

// Action is one timed step of a plan.
type Action struct {
	At         time.Duration // from the start of the load
	Deployment string
	Losses     Losses
	Kind       Kind
	Subject    string // instance, service with Race, "log" with Log
	Detail     string // Direction with Cut, JSON faults with Log, two queue limits with Race, "-" otherwise
}

// String returns the action's line: milliseconds, deployment, losses, kind,
// subject and detail, separated by blanks.
func (a Action) String() string {
	return fmt.Sprintf("%d %s %s %s %s %s", a.At.Milliseconds(), a.Deployment, a.Losses, a.Kind, a.Subject, a.Detail)
}

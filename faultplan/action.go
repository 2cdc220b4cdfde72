package faultplan

import (
	"fmt"
	"time"
)

// Losses is the number of instances of a cell that fail at the same time.
type Losses string

const (
	SingleLoss Losses = "one" // within the fault tolerance that the system guarantees
	DoubleLoss Losses = "two" // availability is not guaranteed
)

// Action is one timed step of a plan.
type Action struct {
	At         time.Duration // from the start of the load
	Deployment string
	Losses     Losses
	Kind       Kind
	Subject    string // service for Race, "log" for Log, instance otherwise
	Detail     string // Direction for Cut, JSON faults for Log, two queue limits for Race, "-" otherwise
}

// String returns the action's line: milliseconds, deployment, losses, kind,
// subject and detail, separated by spaces.
func (a Action) String() string {
	return fmt.Sprintf("%d %s %s %s %s %s", a.At.Milliseconds(), a.Deployment, a.Losses, a.Kind, a.Subject, a.Detail)
}

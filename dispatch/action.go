package dispatch

import "github.com/parsleystack/parsleystack/outcome"

// ActionKind is the type of an Action.
type ActionKind uint8

const (
	// Send sends the request to the owner given by the current routing table.
	Send ActionKind = 1
	// SendElsewhere sends the request to a daemon other than the last one.
	SendElsewhere ActionKind = 2
	// Hold puts the request into the hold queue until the routes have been
	// refreshed.
	Hold ActionKind = 3
	// Finish answers the caller with Action.Result.
	Finish ActionKind = 4
)

// Action is the next step that the caller of Request.Step must carry out.
type Action struct {
	Kind   ActionKind
	Result outcome.Result // with Finish
}

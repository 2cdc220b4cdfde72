package dispatch

import "github.com/parsleystack/parsleystack/outcome"

// ActionKind says what the driver does next.
type ActionKind uint8

const (
	// Send sends the request to the owner that the table names now.
	Send ActionKind = 1
	// SendElsewhere sends the request to another daemon than the last one.
	SendElsewhere ActionKind = 2
	// Hold puts the request into the hold queue until routes were refreshed.
	Hold ActionKind = 3
	// Finish answers the caller with Action.Result.
	Finish ActionKind = 4
)

// Action is an output of a Request.
type Action struct {
	Kind   ActionKind
	Result outcome.Result // with Finish
}

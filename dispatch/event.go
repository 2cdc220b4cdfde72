package dispatch

import "github.com/parsleystack/parsleystack/outcome"

// EventKind says what an Event reports.
type EventKind uint8

const (
	// Arrived starts a request.
	Arrived EventKind = 1
	// NoRoute reports that no daemon is known to send the request to.
	NoRoute EventKind = 2
	// Answered reports the outcome that a daemon sent back, in Event.Result.
	Answered EventKind = 3
	// PeerFailed reports that no daemon's answer came. Event.Sent says whether
	// bytes of the request may have reached the daemon.
	PeerFailed EventKind = 4
	// Refreshed reports the end of a hold: routes were asked for anew.
	Refreshed EventKind = 5
	// HoldRefused reports that the hold queue has no room for the request.
	HoldRefused EventKind = 6
	// DeadlinePassed reports the request's deadline. Event.Sent is set if an
	// attempt is unanswered.
	DeadlinePassed EventKind = 7
	// CallerLeft reports that nobody waits for the answer. Event.Sent is as
	// with DeadlinePassed.
	CallerLeft EventKind = 8
	// OwnerReplaced reports that the key of an idempotent request has another
	// owner while the last one has not answered. Event.Sent is as above.
	OwnerReplaced EventKind = 9
)

// Event is an input of a Request.
type Event struct {
	Kind   EventKind
	Result outcome.Result // with Answered
	Sent   bool           // with PeerFailed, DeadlinePassed and CallerLeft
	// NewerOwner is set with Answered if the table has a newer owner of the key than
	// the one that answered.
	NewerOwner bool
}

package dispatch

import "github.com/parsleystack/parsleystack/outcome"

// EventKind is the type of an Event.
type EventKind uint8

const (
	// Arrived starts a request.
	Arrived EventKind = 1
	// NoRoute reports that the routing table has no daemon for the request.
	NoRoute EventKind = 2
	// Answered reports the outcome returned by a daemon, in Event.Result.
	Answered EventKind = 3
	// PeerFailed reports that the daemon did not answer. Event.Sent is set if
	// bytes of the request may have reached it.
	PeerFailed EventKind = 4
	// Refreshed reports the end of a hold: the routes have been refreshed.
	Refreshed EventKind = 5
	// HoldRefused reports that the hold queue is full and the request was
	// evicted or not added.
	HoldRefused EventKind = 6
	// DeadlinePassed reports that the request's deadline has passed. Event.Sent
	// is set if an attempt is still unanswered.
	DeadlinePassed EventKind = 7
	// CallerLeft reports that the caller has canceled the request. Event.Sent
	// has the same meaning as with DeadlinePassed.
	CallerLeft EventKind = 8
	// OwnerReplaced reports that the key of an idempotent request has a new
	// owner while the previous owner has not answered. Event.Sent has the same
	// meaning as with DeadlinePassed.
	OwnerReplaced EventKind = 9
)

// Event is an input of a Request.
type Event struct {
	Kind   EventKind
	Result outcome.Result // Answered
	Sent   bool           // PeerFailed, DeadlinePassed, CallerLeft, OwnerReplaced
	// NewerOwner is set with Answered if the routing table has a newer owner of
	// the key than the one that answered.
	NewerOwner bool
}

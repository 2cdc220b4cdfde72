// Package outcome defines the three outcomes of a request and the reasons why
// a request was not run or its outcome is unknown. They have the same meaning
// from the daemon beside the target to the caller.
package outcome

import "time"

// Kind classifies the outcome of a request.
type Kind uint8

const (
	// Done means that the target ran the request and its response was received
	// completely.
	Done Kind = 1
	// NotRun means that no target ran the request: it was handed to none, or the
	// target refused it without running it.
	NotRun Kind = 2
	// Unknown means that the target may have run the request.
	Unknown Kind = 3
)

// String returns the name that callers see in the Parsley-Outcome header.
func (k Kind) String() string {
	switch k {
	case Done:
		return "done"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	}
	return "invalid"
}

// Reason says why a request was not run or why its outcome is unknown.
type Reason uint8

const (
	// ReasonNone is the reason of Done.
	ReasonNone Reason = 0
	// WrongOwner means that the receiving daemon does not own the key.
	WrongOwner Reason = 1
	// Moving means that the range is being handed over.
	Moving Reason = 2
	// NoOwner means that no owner of the key is known.
	NoOwner Reason = 3
	// Overloaded means that the queue in front of the target was full.
	Overloaded Reason = 4
	// DeadlineExceeded means that the deadline passed.
	DeadlineExceeded Reason = 5
	// Draining means that the target is shutting down and accepts no requests.
	Draining Reason = 6
	// StaleConfig means that the sender's configuration is older than the receiver's.
	StaleConfig Reason = 7
	// LeaseExpired means that the lease on the key's range ended.
	LeaseExpired Reason = 8
	// ConnectionLost means that a connection failed before the response was complete.
	ConnectionLost Reason = 9
	// Canceled means that the caller disconnected or canceled the request.
	Canceled Reason = 10
	// TargetShed means that the target itself refused the request without running it.
	TargetShed Reason = 11
	// RetryBudget means that the retry budget was exhausted.
	RetryBudget Reason = 12
	// UnknownService means that the active configuration has no such service.
	UnknownService Reason = 13
	// BadRequest means that the request has no key, is malformed or too large.
	BadRequest Reason = 14
	// NotReady means that the daemon has no configuration yet.
	NotReady Reason = 15
	// Duplicate means that an earlier request with the same idempotency key is in flight or has an unknown outcome.
	Duplicate Reason = 16
	// MalformedDeadline means that the deadline in the request's headers is not a number.
	MalformedDeadline Reason = 17
	// MalformedKey means that the key in the request's headers is not a valid key.
	MalformedKey Reason = 18
	// MissingKey means that the request has no key and no service that could serve it
	// without one.
	MissingKey Reason = 19
	// BodyTooLarge means that the body exceeds the limit.
	BodyTooLarge Reason = 20
	// HeaderTooLarge means that the header exceeds the limit.
	HeaderTooLarge Reason = 21
	// MalformedRequest means that the bytes read from the caller are not a request.
	MalformedRequest Reason = 22
	// RequestTimeout means that the request was not complete within the time to read it.
	RequestTimeout Reason = 23
	// UnknownRoute means that the active configuration has no route for the request.
	UnknownRoute Reason = 24
	// RateLimited means that the target accepts no more requests a second.
	RateLimited Reason = 25
	// TargetCrashed means that the target ended while it ran the request.
	TargetCrashed Reason = 26
	// Quarantined means that requests of the same content have crashed targets: it is not
	// run any more, or only when the target can run it alone.
	Quarantined Reason = 27
	// CrashSuspect means that the target ended while it ran this request alone, because it
	// had been in progress at crashes before. It is not sent to another target.
	CrashSuspect Reason = 28
	// UnusableResponse means that the response of the target can't be used.
	UnusableResponse Reason = 29

	// LastReason is the largest reason of this version.
	LastReason = UnusableResponse
)

var reasonNames = [...]string{"none", "wrong-owner", "moving", "no-owner", "overloaded", "deadline-exceeded", "draining", "stale-config", "lease-expired", "connection-lost", "canceled", "target-shed", "retry-budget", "unknown-service", "bad-request", "not-ready", "duplicate",
	"malformed-deadline", "malformed-key", "missing-key", "body-too-large", "header-too-large", "malformed-request", "request-timeout", "unknown-route", "rate-limited", "target-crashed", "quarantined", "crash-suspect", "unusable-response"}

// String returns the name that callers see in the Parsley-Reason header.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid"
}

// Result is the outcome of a request without its response.
type Result struct {
	Kind       Kind
	Reason     Reason
	RetryAfter time.Duration // shortest useful delay before a retry; 0 if a retry is not useful
}

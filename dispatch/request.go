package dispatch

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/outcome"
)

const (
	// maxRedirects is the number of redirects to newer owners that a request
	// follows without being held in between.
	maxRedirects = 4
	// minAttemptTime is the remaining time to the deadline below which no
	// attempt is started.
	minAttemptTime = 2 * time.Millisecond
	// retryAfterHold is the RetryAfter of a request for which no owner was
	// found.
	retryAfterHold = time.Second
	// retryAfterOverload is the minimum RetryAfter of a request whose owner is
	// overloaded.
	retryAfterOverload = 100 * time.Millisecond
	// maxOverloadHolds is the number of times that a request is held again
	// because its new owner is overloaded.
	maxOverloadHolds = 5
	// retryAfterDefault is the RetryAfter of every other failed request whose
	// retry may succeed.
	retryAfterDefault = time.Second
	// maxHold is the longest time for which a request is held.
	maxHold = 4 * time.Second
)

// Constraints determine which attempts a request may make.
type Constraints struct {
	Keyed      bool // only the owner of its key can run it
	Idempotent bool // it may be retried after an unknown outcome
	Deadline   clock.Time
	// Service and Peer limit retries; nil means no limit. Redirects to a new
	// owner do not count against them.
	Service *Budget
	Peer    *Budget
}

// Request is the state machine of one request. A Request with only its
// Constraints set is ready for Arrived. It is not safe for concurrent use.
type Request struct {
	Constraints Constraints

	redirects     int
	retries       int
	heldSince     clock.Time
	overloadHolds int
	mayHaveRun    bool // an attempt of unknown outcome was made
	reason        outcome.Reason
}

// Resends returns the number of attempts after the first: retries and
// redirects.
func (r *Request) Resends() int { return r.retries + r.redirects }

// Step processes one event at the local time now.
func (r *Request) Step(ev Event, now clock.Time) Action {
	switch ev.Kind {
	case Arrived, Refreshed:
		return r.attempt(now, Send)
	case NoRoute:
		r.reason = outcome.NoOwner
		return r.hold(now)
	case Answered:
		return r.answered(ev, now)
	case PeerFailed:
		return r.peerFailed(ev, now)
	case OwnerReplaced:
		return r.ownerReplaced(ev, now)
	case HoldRefused:
		return r.finish(outcome.NotRun, r.reason, retryAfterHold)
	case DeadlinePassed:
		return r.abort(ev.Sent, outcome.DeadlineExceeded)
	case CallerLeft:
		return r.abort(ev.Sent, outcome.Canceled)
	}
	return r.finish(outcome.NotRun, outcome.BadRequest, 0)
}

func (r *Request) answered(ev Event, now clock.Time) Action {
	switch ev.Result.Kind {
	case outcome.Done:
		return Action{Kind: Finish, Result: ev.Result}
	case outcome.NotRun:
		return r.refused(ev, now)
	}
	if ev.Result.Reason == outcome.Duplicate {
		return r.finish(outcome.Unknown, outcome.Duplicate, ev.Result.RetryAfter)
	}
	return r.unknownOutcome(ev.Result.Reason, now, Send)
}

// refused handles an attempt that was not run.
func (r *Request) refused(ev Event, now clock.Time) Action {
	if ev.Result.Reason == outcome.DeadlineExceeded && r.held() {
		return r.finish(outcome.NotRun, r.reason, retryAfterHold)
	}
	r.reason = ev.Result.Reason
	switch ev.Result.Reason {
	case outcome.WrongOwner, outcome.Moving, outcome.LeaseExpired, outcome.NoOwner,
		outcome.Draining, outcome.StaleConfig, outcome.NotReady, outcome.ConnectionLost:
		return r.redirect(ev, now)
	case outcome.Overloaded, outcome.TargetShed:
		return r.overloaded(ev, now)
	}
	return r.finish(outcome.NotRun, ev.Result.Reason, ev.Result.RetryAfter)
}

// redirect sends a refused request to a newer owner or, if it has no key, to
// another daemon. Otherwise it holds the request.
func (r *Request) redirect(ev Event, now clock.Time) Action {
	if !r.Constraints.Keyed && ev.Result.Reason != outcome.StaleConfig && r.redirects < maxRedirects {
		r.redirects++
		return r.attempt(now, SendElsewhere)
	}
	if ev.NewerOwner && r.redirects < maxRedirects {
		r.redirects++
		return r.attempt(now, Send)
	}
	return r.hold(now)
}

// overloaded retries once on another daemon if the request has no key. A request
// that was held for a new owner is held again, since that owner is then likely
// overloaded by the other requests released from the hold queue.
func (r *Request) overloaded(ev Event, now clock.Time) Action {
	retryAfter := max(ev.Result.RetryAfter, retryAfterOverload)
	switch {
	case !r.Constraints.Keyed && r.retries == 0:
		return r.retry(now, SendElsewhere, retryAfter)
	case r.Constraints.Keyed && r.held() && r.overloadHolds < maxOverloadHolds:
		r.overloadHolds++
		return r.hold(now)
	}
	return r.finish(outcome.NotRun, ev.Result.Reason, retryAfter)
}

func (r *Request) held() bool { return r.heldSince != clock.Never }

func (r *Request) peerFailed(ev Event, now clock.Time) Action {
	if ev.Sent {
		return r.unknownOutcome(outcome.ConnectionLost, now, Hold)
	}
	r.reason = outcome.ConnectionLost
	return r.redirect(Event{Kind: Answered, Result: outcome.Result{Kind: outcome.NotRun, Reason: r.reason}, NewerOwner: ev.NewerOwner}, now)
}

// ownerReplaced abandons an attempt whose owner has lost the key. The next
// attempt does not count against the budgets, since it adds no load to the
// previous owner.
func (r *Request) ownerReplaced(ev Event, now clock.Time) Action {
	r.reason = outcome.LeaseExpired
	r.mayHaveRun = r.mayHaveRun || ev.Sent
	if ev.Sent && !r.Constraints.Idempotent {
		return r.finish(outcome.Unknown, outcome.LeaseExpired, 0)
	}
	return r.hold(now)
}

// unknownOutcome handles an attempt that may have run. kind is the action for a
// keyed request that may be retried.
func (r *Request) unknownOutcome(reason outcome.Reason, now clock.Time, kind ActionKind) Action {
	r.mayHaveRun = true
	r.reason = reason
	if !r.Constraints.Idempotent || reason == outcome.Canceled {
		return r.finish(outcome.Unknown, reason, 0)
	}
	if !r.Constraints.Keyed {
		kind = SendElsewhere
	}
	return r.retry(now, kind, 0)
}

// retry makes another attempt if the deadline and the budgets allow it.
func (r *Request) retry(now clock.Time, kind ActionKind, retryAfter time.Duration) Action {
	if r.deadlineTooClose(now) || !r.spendBudgets() {
		return r.finish(outcome.NotRun, r.reason, retryAfter)
	}
	r.retries++
	return Action{Kind: kind}
}

func (r *Request) spendBudgets() bool {
	if r.Constraints.Peer != nil && !r.Constraints.Peer.Spend() {
		return false
	}
	return r.Constraints.Service == nil || r.Constraints.Service.Spend()
}

func (r *Request) attempt(now clock.Time, kind ActionKind) Action {
	if r.deadlineTooClose(now) {
		return r.abort(false, outcome.DeadlineExceeded)
	}
	return Action{Kind: kind}
}

func (r *Request) hold(now clock.Time) Action {
	if !r.held() {
		r.heldSince = now
	}
	if r.deadlineTooClose(now) || now.Sub(r.heldSince) > maxHold {
		return r.finish(outcome.NotRun, r.reason, retryAfterHold)
	}
	r.redirects = 0
	return Action{Kind: Hold}
}

// deadlineTooClose reports whether too little time is left for another attempt.
func (r *Request) deadlineTooClose(now clock.Time) bool {
	return r.Constraints.Deadline.Sub(now) < minAttemptTime
}

func (r *Request) abort(sent bool, reason outcome.Reason) Action {
	switch {
	case sent:
		return r.finish(outcome.Unknown, reason, 0)
	case r.reason != outcome.ReasonNone && reason != outcome.Canceled:
		return r.finish(outcome.NotRun, r.reason, retryAfterHold)
	}
	return r.finish(outcome.NotRun, reason, 0)
}

// finish answers the caller. If any attempt may have run, the outcome is
// Unknown, never NotRun.
func (r *Request) finish(kind outcome.Kind, reason outcome.Reason, retryAfter time.Duration) Action {
	if r.mayHaveRun {
		kind = outcome.Unknown
	}
	if retryAfter == 0 && retryable(reason) {
		retryAfter = retryAfterDefault
	}
	return Action{Kind: Finish, Result: outcome.Result{Kind: kind, Reason: reason, RetryAfter: retryAfter}}
}

// retryable reports whether a later retry by the caller may succeed where a
// request failed for the given reason.
func retryable(reason outcome.Reason) bool {
	switch reason {
	case outcome.BadRequest, outcome.UnknownService, outcome.Canceled:
		return false
	}
	return true
}

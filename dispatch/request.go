package dispatch

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/outcome"
)

const (
	// maxRedirects is the number of times that a request follows refusals to
	// newer owners without a hold in between.
	maxRedirects = 4
	// minAttempt is the time to the deadline below which no attempt starts.
	minAttempt = 2 * time.Millisecond
	// retryAfterHold is the time after which a caller whose request found no
	// owner is asked to come back.
	retryAfterHold = time.Second
	// retryAfterBusy is the same where the owner is overloaded.
	retryAfterBusy = 100 * time.Millisecond
	// maxBusyHolds is the number of times that a request is held again because
	// its new owner is busy.
	maxBusyHolds = 5
	// retryAfterDefault is the same for every other request that a repeat may
	// serve.
	retryAfterDefault = time.Second
	// maxHold is the longest time that a request is held for its owner.
	maxHold = 4 * time.Second
)

// Constraints is what a request may do.
type Constraints struct {
	Keyed      bool // only the owner of its key can run it
	Idempotent bool // it may be sent again after an unknown outcome
	Deadline   clock.Time
	// Service and Peer bound retries; nil turns a bound off. Refusals for an
	// owner that has moved are retried without them.
	Service *Budget
	Peer    *Budget
}

// Request is the state machine of one request. The zero value with a Rule is
// ready for Arrived.
type Request struct {
	Constraints Constraints

	redirects int
	retries   int
	heldSince clock.Time
	busyHolds int
	mayHave   bool // an attempt of unknown outcome was made
	reason    outcome.Reason
}

// Resends returns the number of retries after the first attempt.
func (r *Request) Resends() int { return r.retries + r.redirects }

// Step handles one event at the local time now.
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
		return r.ended(ev.Sent, outcome.DeadlineExceeded)
	case CallerLeft:
		return r.ended(ev.Sent, outcome.Canceled)
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
	return r.unknown(ev.Result.Reason, now, Send)
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
		return r.busy(ev, now)
	}
	return r.finish(outcome.NotRun, ev.Result.Reason, ev.Result.RetryAfter)
}

// redirect follows a refusal to a newer owner, or waits for one.
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

// busy tries another daemon once, if any can run the request. A request that
// was held for a new owner is held again: the owner is busy with what was held.
func (r *Request) busy(ev Event, now clock.Time) Action {
	retryAfter := max(ev.Result.RetryAfter, retryAfterBusy)
	switch {
	case !r.Constraints.Keyed && r.retries == 0:
		return r.retry(now, SendElsewhere, retryAfter)
	case r.Constraints.Keyed && r.held() && r.busyHolds < maxBusyHolds:
		r.busyHolds++
		return r.hold(now)
	}
	return r.finish(outcome.NotRun, ev.Result.Reason, retryAfter)
}

func (r *Request) held() bool { return r.heldSince != clock.Never }

func (r *Request) peerFailed(ev Event, now clock.Time) Action {
	if ev.Sent {
		return r.unknown(outcome.ConnectionLost, now, Hold)
	}
	r.reason = outcome.ConnectionLost
	return r.redirect(Event{Kind: Answered, Result: outcome.Result{Kind: outcome.NotRun, Reason: r.reason}, NewerOwner: ev.NewerOwner}, now)
}

// ownerReplaced gives up an attempt whose owner has lost the key. It takes
// nothing from the budgets: the earlier owner is given up, not loaded twice.
func (r *Request) ownerReplaced(ev Event, now clock.Time) Action {
	r.reason = outcome.LeaseExpired
	r.mayHave = r.mayHave || ev.Sent
	if ev.Sent && !r.Constraints.Idempotent {
		return r.finish(outcome.Unknown, outcome.LeaseExpired, 0)
	}
	return r.hold(now)
}

// unknown handles an attempt that may have run.
func (r *Request) unknown(reason outcome.Reason, now clock.Time, again ActionKind) Action {
	r.mayHave = true
	r.reason = reason
	if !r.Constraints.Idempotent || reason == outcome.Canceled {
		return r.finish(outcome.Unknown, reason, 0)
	}
	if !r.Constraints.Keyed {
		again = SendElsewhere
	}
	return r.retry(now, again, 0)
}

// retry spends the budgets on another attempt.
func (r *Request) retry(now clock.Time, kind ActionKind, retryAfter time.Duration) Action {
	if r.late(now) || !r.spend() {
		return r.finish(outcome.NotRun, r.reason, retryAfter)
	}
	r.retries++
	return Action{Kind: kind}
}

func (r *Request) spend() bool {
	if r.Constraints.Peer != nil && !r.Constraints.Peer.Spend() {
		return false
	}
	return r.Constraints.Service == nil || r.Constraints.Service.Spend()
}

func (r *Request) attempt(now clock.Time, kind ActionKind) Action {
	if r.late(now) {
		return r.ended(false, outcome.DeadlineExceeded)
	}
	return Action{Kind: kind}
}

func (r *Request) hold(now clock.Time) Action {
	if !r.held() {
		r.heldSince = now
	}
	if r.late(now) || now.Sub(r.heldSince) > maxHold {
		return r.finish(outcome.NotRun, r.reason, retryAfterHold)
	}
	r.redirects = 0
	return Action{Kind: Hold}
}

// late reports whether no attempt can end before the deadline.
func (r *Request) late(now clock.Time) bool {
	return r.Constraints.Deadline.Sub(now) < minAttempt
}

func (r *Request) ended(sent bool, reason outcome.Reason) Action {
	switch {
	case sent:
		return r.finish(outcome.Unknown, reason, 0)
	case r.reason != outcome.ReasonNone && reason != outcome.Canceled:
		return r.finish(outcome.NotRun, r.reason, retryAfterHold)
	}
	return r.finish(outcome.NotRun, reason, 0)
}

// finish answers the caller. A request of which any attempt may have run is
// never answered as not run.
func (r *Request) finish(kind outcome.Kind, reason outcome.Reason, retryAfter time.Duration) Action {
	if r.mayHave {
		kind = outcome.Unknown
	}
	if retryAfter == 0 && comesBack(reason) {
		retryAfter = retryAfterDefault
	}
	return Action{Kind: Finish, Result: outcome.Result{Kind: kind, Reason: reason, RetryAfter: retryAfter}}
}

// comesBack reports whether a later repeat of a request that was given up for
// the reason can fare better.
func comesBack(reason outcome.Reason) bool {
	switch reason {
	case outcome.BadRequest, outcome.UnknownService, outcome.Canceled:
		return false
	}
	return true
}

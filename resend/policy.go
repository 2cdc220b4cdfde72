package resend

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/outcome"
)

const (
	// maxPlacements is the largest number of attempts to place one request at a
	// daemon. Each refusal costs a round trip of a few milliseconds.
	maxPlacements = 4
	// ownerPollInterval is how long a keyed request waits before the assignment
	// table is consulted again. A new owner receives its keys with the reply to
	// its next heartbeat.
	ownerPollInterval = 40 * time.Millisecond
	// maxOwnerWaitShare is the longest wait for the owner of a key, as a share of
	// the request's objective. A response after a longer wait would be late, and a
	// caller that is refused earlier can still retry.
	maxOwnerWaitShare = 0.5
	// minTimeLeft is the remaining time to the deadline below which a request is
	// not sent.
	minTimeLeft = 5 * time.Millisecond
	// noOwnerRetryAfter is the delay before a retry for a key without an owner.
	noOwnerRetryAfter = 150 * time.Millisecond
)

// Constraints are the properties of a request that limit how it may be sent.
type Constraints struct {
	Keyed       bool // only the owner of its key can run it
	Idempotent  bool // it may be sent again after an unknown outcome
	MaxAttempts int  // largest number of targets that it may be sent to
	Arrived     clock.Time
	Objective   time.Duration // target response time
	Deadline    clock.Time
}

// Attempt is the result of one attempt to run a request.
type Attempt struct {
	Result outcome.Result
	// Reached is set if the target may have received the request, including when
	// the target received and refused it.
	Reached bool
}

// ActionKind is the kind of an Action.
type ActionKind uint8

const (
	// Finish ends the request with Action.Result.
	Finish ActionKind = 1
	// SendToAnother sends the request to a target that was not tried.
	SendToAnother ActionKind = 2
	// AwaitOwner sends the request to the owner of its key after Action.Pause.
	AwaitOwner ActionKind = 3
)

// Action is the next step for a request.
type Action struct {
	Kind   ActionKind
	Pause  time.Duration
	Result outcome.Result
	// Resend is set if a target has already received the request, so that sending
	// it again must be taken from the retry budget.
	Resend bool
}

// Request is the state of one request across its attempts.
type Request struct {
	Constraints Constraints

	placements int // attempts to place the request at a daemon
	reached    int // targets that received the request
	crashed    int // those of them that ended while they ran it
	mayHaveRun bool
	refusal    outcome.Result // the refusal with the shortest RetryAfter
}

// Reached returns how many targets have received the request.
func (r *Request) Reached() int { return r.reached }

// NoCandidate returns the next action if no daemon can take the request.
// ownerPending reports whether the key has an owner that is expected to serve it
// soon. The request waits only for a pending owner, not for one that has failed.
func (r *Request) NoCandidate(ownerPending bool, now clock.Time) Action {
	if r.Constraints.Keyed && ownerPending {
		return r.awaitOwner(outcome.Result{Kind: outcome.NotRun, Reason: outcome.NoOwner, RetryAfter: noOwnerRetryAfter}, now)
	}
	if r.refusal.Kind == 0 {
		r.refusal = outcome.Result{Kind: outcome.NotRun, Reason: outcome.NoOwner, RetryAfter: noOwnerRetryAfter}
	}
	return r.finish(r.refusal)
}

// Next returns the next action after an attempt.
func (r *Request) Next(a Attempt, now clock.Time) Action {
	r.placements++
	if a.Reached {
		r.reached++
	}
	if a.Result.Kind == outcome.Done {
		return Action{Kind: Finish, Result: a.Result}
	}
	if a.Result.Kind == outcome.Unknown {
		return r.afterUnknown(a, now)
	}
	switch a.Result.Reason {
	case outcome.Quarantined, // whichever target runs it, its daemon refuses it as well
		outcome.Canceled:
		return r.finish(a.Result)
	}
	r.keepEarliestRetry(a.Result)
	if r.Constraints.Deadline.Sub(now) < minTimeLeft || r.placements >= maxPlacements && !r.Constraints.Keyed {
		return r.finish(r.refusal)
	}
	if r.Constraints.Keyed {
		return r.afterKeyedRefusal(a, now)
	}
	if a.Reached && r.reached-r.crashed >= r.Constraints.MaxAttempts {
		return r.finish(r.refusal)
	}
	return Action{Kind: SendToAnother, Resend: r.reached > 0}
}

// TargetsLeft returns to how many targets the request may still be sent. It is 0 for a request
// that has been placed too often.
func (r *Request) TargetsLeft() int {
	return max(min(r.Constraints.MaxAttempts-(r.reached-r.crashed), maxPlacements-r.placements), 0)
}

// NextOfTwo returns the next action after two attempts that were in progress at the same time
// and ended without a response. If either alone would end the request, it ends.
func (r *Request) NextOfTwo(a, b Attempt, now clock.Time) Action {
	if b.Result.Kind == outcome.Unknown { // it decides what may be said about a refusal of the other one
		a, b = b, a
	}
	first := r.Next(a, now)
	second := r.Next(b, now)
	if first.Kind == Finish && (second.Kind != Finish || first.Result.Kind == outcome.Unknown) {
		return first
	}
	return second
}

// afterUnknown returns the next action after an attempt with an unknown outcome.
// Only an idempotent request is sent again, because the target may have run it, and
// none under which targets have crashed repeatedly. A target that has crashed does not
// count towards MaxAttempts.
func (r *Request) afterUnknown(a Attempt, now clock.Time) Action {
	r.mayHaveRun = true
	if a.Result.Reason == outcome.TargetCrashed {
		r.crashed++
	}
	retry := r.Constraints.Idempotent && a.Result.Reason != outcome.Canceled && a.Result.Reason != outcome.DeadlineExceeded && a.Result.Reason != outcome.CrashSuspect &&
		r.reached-r.crashed < r.Constraints.MaxAttempts && r.placements < maxPlacements && r.Constraints.Deadline.Sub(now) >= minTimeLeft
	if !retry {
		return r.finish(a.Result)
	}
	if r.Constraints.Keyed {
		return Action{Kind: AwaitOwner, Resend: true}
	}
	return Action{Kind: SendToAnother, Resend: true}
}

// afterKeyedRefusal returns the next action after a refusal of a keyed request.
// The request follows its key to a new owner. It is not sent again to an
// overloaded owner, because no other target may run it.
func (r *Request) afterKeyedRefusal(a Attempt, now clock.Time) Action {
	switch a.Result.Reason {
	case outcome.WrongOwner, outcome.Moving, outcome.NoOwner, outcome.LeaseExpired, outcome.Draining, outcome.ConnectionLost, outcome.NotReady:
		if a.Reached && r.reached-r.crashed >= r.Constraints.MaxAttempts {
			return r.finish(r.refusal)
		}
		return r.awaitOwner(a.Result, now)
	case outcome.TargetShed:
		// The daemon lets no more requests through than the target has slots, so this refusal
		// is one of a target in trouble, which may serve the next attempt.
		if r.reached-r.crashed < r.Constraints.MaxAttempts && r.placements < maxPlacements {
			return Action{Kind: AwaitOwner, Resend: true}
		}
	}
	return r.finish(a.Result)
}

func (r *Request) awaitOwner(refusal outcome.Result, now clock.Time) Action {
	r.keepEarliestRetry(refusal)
	if float64(now.Sub(r.Constraints.Arrived)) > maxOwnerWaitShare*float64(r.Constraints.Objective) || r.Constraints.Deadline.Sub(now) < ownerPollInterval {
		return r.finish(r.refusal)
	}
	return Action{Kind: AwaitOwner, Pause: ownerPollInterval, Resend: r.reached > 0}
}

// Stop returns the action for a waiting request when the daemon shuts down.
func (r *Request) Stop(retryAfter time.Duration) Action {
	return r.finish(outcome.Result{Kind: outcome.NotRun, Reason: outcome.Draining, RetryAfter: retryAfter})
}

// OutOfBudget returns the action if the request would have to be resent and the
// retry budget is exhausted.
func (r *Request) OutOfBudget() Action {
	return r.finish(outcome.Result{Kind: outcome.NotRun, Reason: outcome.RetryBudget, RetryAfter: r.refusal.RetryAfter})
}

// keepEarliestRetry stores the refusal if its RetryAfter is the shortest so far.
func (r *Request) keepEarliestRetry(refusal outcome.Result) {
	if r.refusal.Kind == 0 || refusal.RetryAfter > 0 && refusal.RetryAfter < r.refusal.RetryAfter {
		r.refusal = refusal
	}
}

// finish ends the request. If an earlier attempt may have run it, a NotRun
// result becomes Unknown.
func (r *Request) finish(result outcome.Result) Action {
	if r.mayHaveRun && result.Kind == outcome.NotRun {
		result.Kind = outcome.Unknown
	}
	return Action{Kind: Finish, Result: result}
}

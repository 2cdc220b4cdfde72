package resend

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/outcome"
)

const (
	// maxPlacements bounds how often daemons are asked for one request. Their
	// refusals cost a round trip of a few milliseconds each.
	maxPlacements = 4
	// ownerPoll is how long a keyed request waits before the table is looked at
	// again. A new owner's target takes its keys at its next heartbeat.
	ownerPoll = 40 * time.Millisecond
	// maxOwnerWait is the longest wait for the owner of a key, as a share of the
	// request's objective: served after it, an answer has lost most of its worth,
	// and refused before, the caller can come back.
	maxOwnerWait = 0.5
	// minTimeLeft is the time to the deadline below which nothing is sent.
	minTimeLeft = 5 * time.Millisecond
	// retryUnowned is when callers of a key without an owner may come back.
	retryUnowned = 150 * time.Millisecond
)

// Rule is what is known of a request when it arrives.
type Rule struct {
	Keyed       bool
	Idempotent  bool
	MaxAttempts int // targets that it may be sent to
	Arrived     clock.Time
	Objective   time.Duration // time within which an answer has its full worth
	Deadline    clock.Time
}

// Attempt is the end of one attempt.
type Attempt struct {
	Result outcome.Result
	// Reached is set if the target may have received the request, or has
	// received and refused it.
	Reached bool
}

// ActionKind says what to do next.
type ActionKind uint8

const (
	// Finish ends the request with Action.Result.
	Finish ActionKind = 1
	// Elsewhere sends it to a target that was not tried.
	Elsewhere ActionKind = 2
	// AwaitOwner sends it to the owner of its key after Action.Pause.
	AwaitOwner ActionKind = 3
)

// Action is a decision.
type Action struct {
	Kind   ActionKind
	Pause  time.Duration
	Result outcome.Result
	// Resend is set if a second target is reached, which the budget must allow.
	Resend bool
}

// Request is the state of one request.
type Request struct {
	Rule Rule

	placements int // daemons asked
	reached    int // targets reached
	mayHaveRun bool
	refusal    outcome.Result // the refusal with the shortest time to come back
}

// Reached returns how many targets have received the request.
func (r *Request) Reached() int { return r.reached }

// Unplaced decides when there is no daemon to ask. coming says that the key has
// an owner that is about to serve it; an owner that is lost is not waited for.
func (r *Request) Unplaced(coming bool, now clock.Time) Action {
	if r.Rule.Keyed && coming {
		return r.awaitOwner(outcome.Result{Kind: outcome.NotRun, Reason: outcome.NoOwner, RetryAfter: retryUnowned}, now)
	}
	if r.refusal.Kind == 0 {
		r.refusal = outcome.Result{Kind: outcome.NotRun, Reason: outcome.NoOwner, RetryAfter: retryUnowned}
	}
	return r.finish(r.refusal)
}

// Next decides after an attempt.
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
	r.note(a.Result)
	if r.Rule.Deadline.Sub(now) < minTimeLeft || r.placements >= maxPlacements && !r.Rule.Keyed {
		return r.finish(r.refusal)
	}
	if r.Rule.Keyed {
		return r.afterKeyedRefusal(a, now)
	}
	if a.Reached && r.reached >= r.Rule.MaxAttempts {
		return r.finish(r.refusal)
	}
	return Action{Kind: Elsewhere, Resend: r.reached > 0}
}

// afterUnknown sends an idempotent request elsewhere; others may have run.
func (r *Request) afterUnknown(a Attempt, now clock.Time) Action {
	r.mayHaveRun = true
	again := r.Rule.Idempotent && a.Result.Reason != outcome.Canceled && a.Result.Reason != outcome.DeadlineExceeded &&
		r.reached < r.Rule.MaxAttempts && r.placements < maxPlacements && r.Rule.Deadline.Sub(now) >= minTimeLeft
	if !again {
		return r.finish(a.Result)
	}
	if r.Rule.Keyed {
		return Action{Kind: AwaitOwner, Resend: true}
	}
	return Action{Kind: Elsewhere, Resend: true}
}

// afterKeyedRefusal follows a key to its owner. An owner that has no room is
// not asked again: there is no other place for the key.
func (r *Request) afterKeyedRefusal(a Attempt, now clock.Time) Action {
	switch a.Result.Reason {
	case outcome.WrongOwner, outcome.Moving, outcome.NoOwner, outcome.LeaseExpired, outcome.Draining, outcome.ConnectionLost, outcome.NotReady:
		if a.Reached && r.reached >= r.Rule.MaxAttempts {
			return r.finish(r.refusal)
		}
		return r.awaitOwner(a.Result, now)
	}
	return r.finish(a.Result)
}

func (r *Request) awaitOwner(refusal outcome.Result, now clock.Time) Action {
	r.note(refusal)
	if float64(now.Sub(r.Rule.Arrived)) > maxOwnerWait*float64(r.Rule.Objective) || r.Rule.Deadline.Sub(now) < ownerPoll {
		return r.finish(r.refusal)
	}
	return Action{Kind: AwaitOwner, Pause: ownerPoll, Resend: r.reached > 0}
}

// Stop decides when the daemon is about to end and the request waits.
func (r *Request) Stop(retryAfter time.Duration) Action {
	return r.finish(outcome.Result{Kind: outcome.NotRun, Reason: outcome.Draining, RetryAfter: retryAfter})
}

// OutOfBudget decides when a second target would be needed and the budget has
// nothing left.
func (r *Request) OutOfBudget() Action {
	return r.finish(outcome.Result{Kind: outcome.NotRun, Reason: outcome.RetryBudget, RetryAfter: r.refusal.RetryAfter})
}

// note keeps the refusal that lets the caller come back first.
func (r *Request) note(refusal outcome.Result) {
	if r.refusal.Kind == 0 || refusal.RetryAfter > 0 && refusal.RetryAfter < r.refusal.RetryAfter {
		r.refusal = refusal
	}
}

// finish ends the request. What may have run is never called not run.
func (r *Request) finish(result outcome.Result) Action {
	if r.mayHaveRun && result.Kind == outcome.NotRun {
		result.Kind = outcome.Unknown
	}
	return Action{Kind: Finish, Result: result}
}

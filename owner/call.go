package owner

import (
	"errors"
	"time"

	"github.com/parsleystack/parsleystack/admission"
	"github.com/parsleystack/parsleystack/lease"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/target"
)

// runTarget calls the target and sets the outcome.
func (r *activeRequest) runTarget() admission.Completion {
	if !r.prepareCall() {
		return admission.NotSent
	}
	sent, err := r.owner.cfg.Target.Do(&r.call)
	switch {
	case !sent:
		r.setNotSent(err)
		return admission.NotSent
	case err != nil:
		r.setFailed(err)
		return admission.Failed
	}
	if refusal, ok := target.Refusal(&r.httpResp); ok {
		r.refuse(refusal.Reason, refusal.RetryAfter)
		if refusal.Reason == outcome.TargetShed {
			return admission.Shed
		}
		return admission.NotSent
	}
	r.setCompleted()
	return admission.Answered
}

// prepareCall checks the lease and builds the target's request. If the target
// does not check fencing tokens, the call's deadline is LeaseMargin before the
// end of the lease or earlier.
func (r *activeRequest) prepareCall() bool {
	now := r.owner.cfg.Now()
	grant, expires, verdict := r.use.Check(now)
	if !r.requireHeld(verdict) {
		return false
	}
	r.grant, r.expires = grant, expires
	left := r.deadline.Sub(r.owner.cfg.Fast())
	if !r.spec.spec.Fenced {
		r.expires = expires.Add(-r.owner.cfg.LeaseMargin)
		if !now.Before(r.expires) {
			return r.requireHeld(lease.Expired)
		}
		left = min(left, r.expires.Sub(now))
	}
	if left <= 0 {
		return r.refuse(outcome.DeadlineExceeded, 0)
	}
	buildRequest(&r.httpReq, r.req)
	target.SetGrant(&r.httpReq.Header, grant, left)
	r.call.Request, r.call.Response = &r.httpReq, &r.httpResp
	r.call.Deadline = time.Now().Add(left)
	r.call.BeforeWrite = r.beforeWrite
	return true
}

// errLeaseNotConfirmed aborts a call whose lease changed, or whose deadline
// passed, just before the request was written.
var errLeaseNotConfirmed = errors.New("owner: lease is no longer held or the deadline has passed")

// confirmLease is the last check before the first byte is written to the target.
func (r *activeRequest) confirmLease() error {
	now := r.owner.cfg.Now()
	grant, _, verdict := r.use.Check(now)
	if verdict != lease.Held || grant.Token != r.grant.Token || !now.Before(r.expires) && !r.spec.spec.Fenced {
		return errLeaseNotConfirmed
	}
	if r.deadlinePassed() {
		return errLeaseNotConfirmed
	}
	r.writeStarted.Store(true)
	return nil
}

// setNotSent sets the outcome of a call that wrote nothing to the target.
func (r *activeRequest) setNotSent(err error) {
	switch {
	case errors.Is(err, target.ErrCanceled):
		r.refuse(outcome.Canceled, 0)
	case errors.Is(err, target.ErrNoConn):
		r.refuse(outcome.Overloaded, retryAfterMoving)
	case errors.Is(err, errLeaseNotConfirmed):
		r.setNotConfirmed()
	case r.deadlinePassed():
		r.refuse(outcome.DeadlineExceeded, 0)
	default:
		r.refuse(outcome.ConnectionLost, retryAfterMoving)
	}
}

// setNotConfirmed sets the outcome of a call that confirmLease aborted.
func (r *activeRequest) setNotConfirmed() {
	if r.deadlinePassed() {
		r.refuse(outcome.DeadlineExceeded, 0)
		return
	}
	_, _, verdict := r.use.Check(r.owner.cfg.Now())
	if r.requireHeld(verdict) {
		r.refuse(outcome.Moving, retryAfterMoving)
	}
}

// setFailed sets the outcome of a call that was written but got no complete
// response.
func (r *activeRequest) setFailed(err error) {
	switch {
	case errors.Is(err, target.ErrCanceled):
		r.setUnknown(outcome.Canceled)
	case r.deadlinePassed():
		r.setUnknown(outcome.DeadlineExceeded)
	default:
		r.setUnknown(outcome.ConnectionLost)
	}
}

// setCompleted stores the target's response. The outcome is unknown if the lease
// ended during the call.
func (r *activeRequest) setCompleted() {
	_, _, verdict := r.use.Check(r.owner.cfg.Now())
	if verdict != lease.Held && verdict != lease.Releasing {
		r.setHint()
		r.setUnknown(outcome.LeaseExpired)
		return
	}
	r.resp.Kind, r.resp.Reason = outcome.Done, outcome.ReasonNone
	fillResponse(&r.resp, &r.httpResp)
}

package owner

import (
	"errors"
	"time"

	"github.com/parsleystack/parsleystack/admission"
	"github.com/parsleystack/parsleystack/lease"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/target"
)

// runTarget calls the target and stores the outcome.
func (r *run) runTarget() admission.Completion {
	if !r.prepareCall() {
		return admission.NotSent
	}
	sent, err := r.owner.cfg.Target.Do(&r.call)
	switch {
	case !sent:
		r.notSent(err)
		return admission.NotSent
	case err != nil:
		r.failed(err)
		return admission.Failed
	}
	if refusal, ok := target.Refusal(&r.httpResp); ok {
		r.refuse(refusal.Reason, refusal.RetryAfter)
		if refusal.Reason == outcome.TargetShed {
			return admission.Shed
		}
		return admission.NotSent
	}
	r.answered()
	return admission.Answered
}

// prepareCall checks the lease and builds the target's request. The time left
// ends before the lease where the target does not check tokens.
func (r *run) prepareCall() bool {
	now := r.owner.cfg.Now()
	grant, expires, verdict := r.use.Check(now)
	if !r.accept(verdict) {
		return false
	}
	r.grant, r.expires = grant, expires
	left := r.deadline.Sub(r.owner.cfg.Fast())
	if !r.spec.spec.Fenced {
		r.expires = expires.Add(-r.owner.cfg.LeaseMargin)
		if !now.Before(r.expires) {
			return r.accept(lease.Expired)
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
	r.call.BeforeWrite = r.confirm
	return true
}

// errNotConfirmed stops a call whose lease changed at the last step.
var errNotConfirmed = errors.New("owner: lease is not held any more")

// confirmLease is the last check before bytes go to the target.
func (r *run) confirmLease() error {
	now := r.owner.cfg.Now()
	grant, _, verdict := r.use.Check(now)
	if verdict != lease.Held || grant.Token != r.grant.Token || !now.Before(r.expires) && !r.spec.spec.Fenced {
		return errNotConfirmed
	}
	if r.late() {
		return errNotConfirmed
	}
	r.sending.Store(true)
	return nil
}

// notSent stores the outcome of a call that wrote nothing.
func (r *run) notSent(err error) {
	switch {
	case errors.Is(err, target.ErrCanceled):
		r.refuse(outcome.Canceled, 0)
	case errors.Is(err, target.ErrNoConn):
		r.refuse(outcome.Overloaded, retryAfterMoving)
	case errors.Is(err, errNotConfirmed):
		r.notConfirmed()
	case r.late():
		r.refuse(outcome.DeadlineExceeded, 0)
	default:
		r.refuse(outcome.ConnectionLost, retryAfterMoving)
	}
}

func (r *run) notConfirmed() {
	if r.late() {
		r.refuse(outcome.DeadlineExceeded, 0)
		return
	}
	_, _, verdict := r.use.Check(r.owner.cfg.Now())
	if r.accept(verdict) {
		r.refuse(outcome.Moving, retryAfterMoving)
	}
}

// failed stores the outcome of a call whose whole answer did not come.
func (r *run) failed(err error) {
	switch {
	case errors.Is(err, target.ErrCanceled):
		r.unknown(outcome.Canceled)
	case r.late():
		r.unknown(outcome.DeadlineExceeded)
	default:
		r.unknown(outcome.ConnectionLost)
	}
}

// answered stores the target's answer if the range was held throughout.
func (r *run) answered() {
	_, _, verdict := r.use.Check(r.owner.cfg.Now())
	if verdict != lease.Held && verdict != lease.Releasing {
		r.hint()
		r.unknown(outcome.LeaseExpired)
		return
	}
	r.resp.Kind, r.resp.Reason = outcome.Done, outcome.ReasonNone
	fillAnswer(&r.resp, &r.httpResp)
}

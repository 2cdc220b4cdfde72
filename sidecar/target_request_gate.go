package sidecar

import (
	"sync"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/quarantine"
)

const (
	// retryQuarantined is the Retry-After of a request that is run at no target.
	retryQuarantined = time.Minute
	// retrySuspect is the shortest Retry-After of a suspected request that has waited too
	// long for its turn, and the spread of those that come back for their trial.
	retrySuspect = 250 * time.Millisecond
	// trialSettleTime is the time in which the evidence of a crash elsewhere arrives. A trial
	// does not begin earlier, since another copy of the request may have had one there.
	trialSettleTime = 100 * time.Millisecond
	// maxGateWaitShare is the longest wait for the turn of a suspected request, as a share
	// of the time to its deadline. A caller that is refused earlier can still retry.
	maxGateWaitShare = 0.5
	// idlePoll is the time between two checks whether a target on hold has become idle.
	idlePoll = 5 * time.Millisecond
	// maxHold is the longest time for which a trial that runs keeps other requests from the
	// target.
	maxHold = 1500 * time.Millisecond
)

// gatePass is the admission of one request through the gate for suspected ones.
type gatePass struct {
	print    quarantine.Fingerprint
	verdict  quarantine.Verdict // Unsuspected if the request did not have to pass
	resume   func()             // ends the hold of the target; nil if the request is not on trial
	canceled bool               // after it was sent
}

// gateWait bounds the wait of a request for its turn.
type gateWait struct {
	timer    *time.Timer
	canceled chan struct{}
}

// pause waits for a time. It reports false if the request was canceled meanwhile.
func (w *gateWait) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-w.canceled:
		return false
	}
}

func (r *targetRequest) evidence() (quarantine.Fingerprint, quarantine.Evidence) {
	return r.b.d.findEvidence(r.req)
}

// verdictRaised reports whether the verdict on the request has become stricter since it
// passed the gate.
func (r *targetRequest) verdictRaised() bool {
	_, e := r.evidence()
	return e.Verdict() > r.pass.verdict
}

// passGate waits until the evidence against the request allows to send it to the target. It
// refuses the request and reports false if it may not be sent.
func (r *targetRequest) passGate() bool {
	r.pass = gatePass{}
	if _, e := r.evidence(); e.Verdict() == quarantine.Unsuspected {
		return true
	}
	now := clock.Now()
	wait := gateWait{timer: time.NewTimer(time.Duration(maxGateWaitShare * float64(r.item.Deadline.Sub(now)))), canceled: make(chan struct{})}
	defer wait.timer.Stop()
	if !r.cancel.setOnCancel(sync.OnceFunc(func() { close(wait.canceled) })) {
		return r.refuse(outcome.Canceled, 0)
	}
	defer r.cancel.setOnCancel(nil)
	awaitsTrial, settled := false, false
	defer func() {
		if awaitsTrial {
			r.b.gate.endAwait()
		}
	}()
	for {
		print, e := r.evidence()
		verdict := e.Verdict()
		switch verdict {
		case quarantine.Unsuspected:
			return true
		case quarantine.Quarantined:
			return r.refuse(outcome.Quarantined, retryQuarantined)
		}
		if verdict == quarantine.OnTrial {
			if delay := r.b.d.suspects.Load().TrialDelay(print, time.Now()); delay > 0 {
				return r.refuse(outcome.Quarantined, delay+jittered(retrySuspect))
			}
			if !settled {
				settled = true
				if !wait.pause(trialSettleTime) {
					return r.refuse(outcome.Canceled, 0)
				}
				continue
			}
		}
		admitted, changed := r.b.gate.enter(print, verdict, &awaitsTrial)
		if admitted {
			r.pass = gatePass{print: print, verdict: verdict}
			return verdict != quarantine.OnTrial || r.holdTarget(&wait)
		}
		select {
		case <-changed:
		case <-wait.timer.C:
			return r.refuse(outcome.Quarantined, retrySuspect+jittered(retrySuspect))
		case <-wait.canceled:
			return r.refuse(outcome.Canceled, 0)
		}
	}
}

// holdTarget waits until no other request is in progress at the target, while no other one
// is started.
func (r *targetRequest) holdTarget(wait *gateWait) bool {
	r.b.holdQueue()
	r.pass.resume = sync.OnceFunc(r.b.resumeQueue)
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for {
		if running, _, _ := r.b.requests(); running == 0 {
			r.alone, r.item.Exclusive = true, true
			time.AfterFunc(maxHold, r.pass.resume)
			return true
		}
		select {
		case <-ticker.C:
		case <-wait.timer.C:
			r.leaveGate()
			return r.refuse(outcome.Quarantined, retrySuspect+jittered(retrySuspect))
		case <-wait.canceled:
			r.leaveGate()
			return r.refuse(outcome.Canceled, 0)
		}
	}
}

// leaveGate ends what passGate has begun.
func (r *targetRequest) leaveGate() {
	if r.pass.verdict == quarantine.Unsuspected {
		return
	}
	linger := time.Duration(0)
	if r.pass.canceled {
		linger = max(r.item.Deadline.Sub(clock.Now()), 0) // its target may go on with it
	}
	if r.pass.resume != nil {
		time.AfterFunc(linger, r.pass.resume)
	}
	r.b.gate.leave(r.pass.print, linger)
	r.alone, r.item.Exclusive = false, false
	r.pass = gatePass{}
}

// observeServed acquits the request, which the target has served, if it is suspected. It may
// have been sent before.
func (r *targetRequest) observeServed() {
	if print, e := r.evidence(); e.Crashes > 0 && e.Verdict() != quarantine.Quarantined {
		r.b.d.control.do(func() { r.b.d.control.acquit(print) })
	}
}

// holdQueue stops the start of other requests.
func (b *backend) holdQueue() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue.Hold()
}

// resumeQueue ends holdQueue.
func (b *backend) resumeQueue() {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	b.applyDecisions(b.queue.Resume(now))
	b.scheduleAdvance(now)
}

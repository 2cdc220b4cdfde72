package sidecar

import (
	"sync"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ownertable"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/quarantine"
	"github.com/parsleystack/parsleystack/runcalls"
)

const (
	// lostTogether is the longest time between a crash and the loss of the requests that
	// were in progress.
	lostTogether = 50 * time.Millisecond
	// maxUnanswered bounds the requests without response that are kept; the oldest are
	// dropped first.
	maxUnanswered = quarantine.MaxSuspects
)

// runTracker knows which requests are in progress at one incarnation of the target, and
// which of them have ended without a response, so that a crash shows which requests may
// have caused it.
type runTracker struct {
	mu         sync.Mutex
	target     ownertable.Target
	inProgress map[*targetRequest]struct{}
	calls      *runcalls.Table // the same, by request id
	unanswered []unansweredRun
	lastSign   clock.Time // newest response or heartbeat of the target
	served     *quarantine.Served
	crashed    bool        // the crash of this incarnation was observed
	check      *crashCheck // in progress, or nil
}

// unansweredRun is a request that ended without a response. Its target may go on with it
// until the deadline, whether it was canceled, timed out or lost its connection.
type unansweredRun struct {
	crashSuspect
	deadline clock.Time // the one that the target was given
}

// crashSuspect is a request that was in progress at a crash.
type crashSuspect struct {
	requestID string
	print     quarantine.Fingerprint
	alone     bool // it was sent while no other request was in progress
	frequent  bool // requests of its content are served often
}

func newRunTracker(t ownertable.Target) *runTracker {
	return &runTracker{target: t, inProgress: make(map[*targetRequest]struct{}), calls: runcalls.NewTable(), served: quarantine.NewServed()}
}

// begin records that a request is about to be written to the target.
func (t *runTracker) begin(r *targetRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inProgress[r] = struct{}{}
	t.calls.Begin(r.req.RequestID, r.run())
}

// end removes a request that is no longer in progress. The caller holds t.mu.
func (t *runTracker) end(r *targetRequest) {
	if _, ok := t.inProgress[r]; ok {
		delete(t.inProgress, r)
		t.calls.End(r.req.RequestID, r.run())
	}
}

// run returns the request as a run that may make calls.
func (r *targetRequest) run() runcalls.Run {
	return runcalls.Run{Priority: r.item.Priority, Deadline: r.item.Deadline}
}

// runOfCall returns the request in progress that makes the call with an id.
func (t *runTracker) runOfCall(requestID string) (runcalls.Run, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls.Find(platform.RunsOfCall(requestID))
}

// answered records the end of a request with a response.
func (t *runTracker) answered(r *targetRequest, now clock.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end(r)
	t.lastSign = now
	c := r.content()
	t.served.Add(&c)
}

// notSent records the end of a request of which no byte was written.
func (t *runTracker) notSent(r *targetRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end(r)
}

// alive records a heartbeat of the target.
func (t *runTracker) alive(now clock.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastSign = max(t.lastSign, now)
}

// lost records the end of a request without a response.
func (t *runTracker) lost(r *targetRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end(r)
	if len(t.unanswered) >= maxUnanswered {
		t.unanswered = append(t.unanswered[:0], t.unanswered[len(t.unanswered)/2:]...)
	}
	t.unanswered = append(t.unanswered, unansweredRun{crashSuspect: t.suspect(r), deadline: r.item.Deadline})
}

func (t *runTracker) suspect(r *targetRequest) crashSuspect {
	c := r.content()
	if t.served.Frequent(&c) {
		return crashSuspect{requestID: string(r.req.RequestID), frequent: true}
	}
	return crashSuspect{requestID: string(r.req.RequestID), print: c.Fingerprint(), alone: r.alone}
}

// running returns the number of requests in progress.
func (t *runTracker) running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.inProgress)
}

// crash records that the target has crashed after a time and returns the requests that may
// have been in progress. If that time is Never, the crash came after the target's last sign
// of life. It reports false if a crash was recorded before.
func (t *runTracker) crash(after clock.Time) (suspects []crashSuspect, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.crashed {
		return nil, false
	}
	t.crashed = true
	if after == clock.Never {
		after = t.lastSign
	}
	for i := range t.unanswered {
		if u := &t.unanswered[i]; after.Before(u.deadline) {
			suspects = append(suspects, u.crashSuspect)
		}
	}
	for r := range t.inProgress {
		suspects = append(suspects, t.suspect(r))
	}
	return suspects, true
}

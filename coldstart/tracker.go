package coldstart

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// Tracker knows whether a target is in cold start and how many requests may be sent to it.
type Tracker struct {
	limit Limit
	state State
	// statedAt is the earliest time at which the newest statement can have been made.
	statedAt clock.Time
	doubt    doubt

	tokens   float64 // requests that may be sent at the time tokensAt
	tokensAt clock.Time
	arrivals arrivals
	checks   checks
}

// NewTracker returns the tracker of a target that an earlier process of the daemon may have
// sent requests to. It starts without tokens, since these have just arrived.
func NewTracker(now clock.Time) *Tracker {
	t := &Tracker{tokensAt: now, state: State{Cold: true, Unknown: true, Since: now, Evidence: DaemonStarted}}
	t.SetLimit(Limit{}, now)
	return t
}

// SetLimit sets what is configured for the service of the target.
func (t *Tracker) SetLimit(l Limit, now clock.Time) {
	t.refill(now)
	if !l.Known {
		l = unknownLimit
	}
	t.limit = l
	t.tokens = min(t.tokens, l.burst())
	if !l.applies() {
		t.arrivals.setMax(0)
		return
	}
	t.arrivals.setMax(l.maxInWindow())
}

// State returns whether the target is cold at a time.
func (t *Tracker) State(now clock.Time) State {
	s := t.state
	if !t.limit.applies() || s.Cold && !s.Unknown && !now.Before(s.Until) {
		s.Cold, s.Unknown = false, false
	}
	return s
}

// Pacing reports whether requests to the target are paced at a time.
func (t *Tracker) Pacing(now clock.Time) bool { return t.State(now).Cold }

// Rate returns the requests a second that are sent to a cold target.
func (t *Tracker) Rate() float64 { return t.limit.PerSecond }

// Burst returns the number of requests that may be sent at once to a cold target.
func (t *Tracker) Burst() float64 { return t.limit.burst() }

// Doubt records that it is not known from a time on whether the target is cold. Only what
// it states later ends that.
func (t *Tracker) Doubt(e Evidence, now clock.Time) {
	s := t.State(now)
	t.doubt.begin(e, s, now)
	if !s.Cold {
		s.Since = now
	}
	s.Cold, s.Unknown, s.Evidence = true, true, e
	t.state, t.statedAt = s, now
	if e == ConnectionRefused || e == TargetReplaced { // what was sent before has arrived or never will
		t.arrivals.confirm(now, now)
	}
}

// Replaced records that a new incarnation of the target has reported, whose statements are
// certainly newer than all earlier ones.
func (t *Tracker) Replaced(now clock.Time) {
	t.Doubt(TargetReplaced, now)
	t.statedAt = clock.Never
	t.checks, t.doubt = checks{}, doubt{}
}

// Observe applies a statement of the target. It reports whether it is applied completely: an
// older one can make the target count as cold, but not end that.
func (t *Tracker) Observe(s Statement, now clock.Time) bool {
	if s.Source == Heartbeat {
		t.arrivals.confirm(s.Sent, now)
	}
	until := now.Add(s.Remaining)
	if !s.Stated {
		if !t.state.Cold {
			return false
		}
		until = t.state.Since.Add(t.limit.Duration)
	}
	cold := now.Before(until)
	newer := !s.Sent.Before(t.statedAt)
	old := t.State(now)
	switch {
	case cold && newer:
		t.setCold(old, s.Source, until, now)
		t.checks.answered(true)
	case cold && !old.Cold, cold && !old.Unknown && t.state.Until.Before(until):
		t.setCold(old, s.Source, until, now)
		return false
	case !cold && newer:
		t.state = State{Evidence: s.Source, Since: now}
		t.checks.answered(false)
	default:
		return false
	}
	t.statedAt = max(t.statedAt, s.Sent)
	return true
}

func (t *Tracker) setCold(old State, e Evidence, until, now clock.Time) {
	since := old.Since
	if !old.Cold {
		since = now
	}
	t.state = State{Cold: true, Since: since, Until: until, Evidence: e}
}

// Wait returns the time until n requests may have been sent, if nothing else is sent
// meanwhile. It is 0 if the target is warm. A health check that waits goes first.
func (t *Tracker) Wait(n float64, now clock.Time) time.Duration {
	if t.checks.awaited {
		n++
	}
	return t.wait(n, now)
}

// CheckWait returns the time until a health check may be sent.
func (t *Tracker) CheckWait(now clock.Time) time.Duration { return t.wait(1, now) }

func (t *Tracker) wait(n float64, now clock.Time) time.Duration {
	s := t.State(now)
	if !s.Cold {
		return 0
	}
	t.refill(now)
	wait := t.arrivals.wait(max(int(n), 1), now)
	if t.tokens < n {
		wait = max(wait, time.Duration((n-t.tokens)/t.limit.PerSecond*float64(time.Second)), 1)
	}
	if !s.Unknown {
		wait = min(wait, s.Until.Sub(now))
	}
	return wait
}

// Start records that a request is about to be sent. Requests to a warm target are recorded,
// too: it may have become cold a moment ago without having said so.
func (t *Tracker) Start(id uint64, now clock.Time) {
	if !t.limit.applies() {
		return
	}
	t.refill(now)
	t.tokens = max(t.tokens-1, -t.limit.burst()) // what a warm target got is bounded by arrivals
	t.arrivals.start(id)
}

// Written records that a request is written to a connection now.
func (t *Tracker) Written(id uint64, now clock.Time) { t.arrivals.write(id, now) }

// Answered records that a response to a request was received.
func (t *Tracker) Answered(id uint64, now clock.Time) {
	written, ok := t.arrivals.answered(id, now)
	if ok && t.state.Unknown && t.doubt.refutedBy(written, now) {
		t.state, t.doubt = t.doubt.before, doubt{}
	}
}

// Ended records the end of a request. One that was not written does not count.
func (t *Tracker) Ended(id uint64, now clock.Time) {
	if t.arrivals.end(id) {
		t.refill(now)
		t.tokens = min(t.tokens+1, t.limit.burst())
	}
}

// Suspect records that the work of a target that seems warm takes much longer than expected,
// so that it may be cold.
func (t *Tracker) Suspect(now clock.Time) {
	if !t.Pacing(now) {
		t.checks.suspected = true
	}
}

// CheckDue reports whether a health check is to be sent now. Sending it passes CheckWait and
// Start like a request.
func (t *Tracker) CheckDue(now clock.Time) bool {
	return t.limit.applies() && t.checks.due(t.State(now).Unknown, now)
}

// AwaitCheck sets whether a health check waits for CheckWait.
func (t *Tracker) AwaitCheck(awaited bool) { t.checks.awaited = awaited }

// CheckSent records that a health check is sent.
func (t *Tracker) CheckSent(now clock.Time) { t.checks.sent(t.State(now).Unknown, now) }

// refill adds the tokens since the last call.
func (t *Tracker) refill(now clock.Time) {
	elapsed := now.Sub(t.tokensAt)
	if elapsed <= 0 {
		return
	}
	t.tokens, t.tokensAt = min(t.tokens+t.limit.PerSecond*elapsed.Seconds(), t.limit.burst()), now
}

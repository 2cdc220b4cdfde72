package freshness

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// Policy determines the ages of a copy at which it is checked.
type Policy struct {
	// Interval is the age at which the process that made the newest check makes the
	// next one.
	Interval time.Duration
	// Takeover is the age at which the other processes begin to check, each after a
	// random part of Spread.
	Takeover time.Duration
	Spread   time.Duration
	// RetryPause is the time between a failed check and the next one.
	RetryPause time.Duration
}

// NewPolicy returns the policy by which a change of the source is noticed within
// bound. The last quarter of the bound is left for the check itself.
func NewPolicy(bound time.Duration) Policy {
	return Policy{Interval: bound * 35 / 100, Takeover: bound * 60 / 100, Spread: bound * 15 / 100, RetryPause: bound / 4}
}

// Tracker tracks the time as of which one copy was known to be current. It is not
// safe for concurrent use.
type Tracker struct {
	policy    Policy
	asOf      clock.Time // Never before the first confirmation
	hops      int        // processes that passed the confirmation on, 0 after a check of this process
	checker   bool       // asOf comes from a check of this process
	jitter    time.Duration
	startedAt clock.Time // of the newest check
	running   bool
	retryAt   clock.Time
}

// NewTracker returns the tracker of a copy that was never confirmed.
func NewTracker(p Policy) *Tracker { return &Tracker{policy: p} }

// MaxHops is the number of times that a confirmation is passed on. Each time adds the
// transit time of a message to the time that the receiver takes it for, so without a
// limit processes that tell each other would need no check at all. Three hops reach
// every process of a large fleet.
const MaxHops = 3

// Confirm records that the copy was current at a time, as a read for another purpose
// has found or another process has told, after a number of hops. random is in [0, 1).
func (t *Tracker) Confirm(asOf clock.Time, hops int, random float64) {
	similar := t.policy.Interval / 4
	switch newer := asOf.Sub(t.asOf); {
	case hops > MaxHops || newer < -similar:
	case newer > similar:
		t.confirm(asOf, max(hops, 1), random, false) // 0 is for a process that checks
	case hops == 1 && random < 0.5: // another process checks at the same times as this one
		t.checker, t.hops = false, 1
	}
	// A confirmation that is hardly newer may otherwise be the present one, passed on.
}

func (t *Tracker) confirm(asOf clock.Time, hops int, random float64, checker bool) {
	if asOf <= t.asOf {
		return
	}
	t.asOf, t.hops, t.checker = asOf, hops, checker
	t.jitter = time.Duration(random * float64(t.policy.Spread))
}

// Hops returns the number of hops for which the confirmation is passed on: one more
// than those it has made.
func (t *Tracker) Hops() int { return t.hops + 1 }

// AsOf returns the time as of which the copy was current; Never if it was never
// confirmed.
func (t *Tracker) AsOf() clock.Time { return t.asOf }

// Due reports whether a check must start now. outdated is set if a newer version is
// known to exist, and its copy is overdue.
func (t *Tracker) Due(now clock.Time, outdated bool) bool {
	if t.running || now < t.retryAt {
		return false
	}
	limit := t.policy.Takeover + t.jitter
	if t.checker {
		limit = t.policy.Interval
	}
	if outdated && (t.startedAt == clock.Never || now.Sub(t.startedAt) >= t.policy.RetryPause) {
		return true // not at each call, since the source may lack the newer version for long
	}
	return now.Sub(t.asOf) >= limit
}

// Started records the start of a check.
func (t *Tracker) Started(now clock.Time) { t.running, t.startedAt = true, now }

// Succeeded records that a check sent at a time was answered.
func (t *Tracker) Succeeded(sent clock.Time, random float64) {
	t.running = false
	t.confirm(sent, 0, random, true)
}

// Failed records that a check was not answered. random is in [0, 1).
func (t *Tracker) Failed(now clock.Time, random float64) {
	t.running, t.checker, t.hops = false, false, max(t.hops, 1)
	t.retryAt = now.Add(t.policy.RetryPause + time.Duration(random*float64(t.policy.Spread)))
}

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
	policy  Policy
	asOf    clock.Time // Never before the first confirmation
	checker bool       // asOf comes from a check of this process
	jitter  time.Duration
	running bool
	retryAt clock.Time
}

// NewTracker returns the tracker of a copy that was never confirmed.
func NewTracker(p Policy) *Tracker { return &Tracker{policy: p} }

// Confirm records that the copy was current at a time, as another process or a read
// for another purpose has found. random is in [0, 1).
func (t *Tracker) Confirm(asOf clock.Time, random float64) { t.confirm(asOf, random, false) }

func (t *Tracker) confirm(asOf clock.Time, random float64, checker bool) {
	if asOf <= t.asOf {
		return
	}
	t.asOf, t.checker = asOf, checker
	t.jitter = time.Duration(random * float64(t.policy.Spread))
}

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
	return outdated || now.Sub(t.asOf) >= limit
}

// Started records the start of a check.
func (t *Tracker) Started() { t.running = true }

// Succeeded records that a check sent at a time was answered.
func (t *Tracker) Succeeded(sent clock.Time, random float64) {
	t.running = false
	t.confirm(sent, random, true)
}

// Failed records that a check was not answered. random is in [0, 1).
func (t *Tracker) Failed(now clock.Time, random float64) {
	t.running, t.checker = false, false
	t.retryAt = now.Add(t.policy.RetryPause + time.Duration(random*float64(t.policy.Spread)))
}

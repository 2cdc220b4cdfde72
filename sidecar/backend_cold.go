package sidecar

import (
	"errors"
	"io"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/coldstart"
	"github.com/parsleystack/parsleystack/logevent"
)

// coldLogInterval is the shortest time between two lines about a cold target. A target that
// closes idle connections gives evidence with each of them.
const coldLogInterval = time.Second

// coldState is what the daemon knows about the cold start of its target. backend.mu guards it.
type coldState struct {
	tracker *coldstart.Tracker
	// statesLoad is set once the target has stated its load: it then answers health checks
	// at once.
	statesLoad bool
	checking   bool // a health check is in progress

	cold    bool // as of the last checkCold
	logged  coldstart.State
	nextLog clock.Time
	since   clock.Time // of the cold start that is or was logged last
	held    int        // requests that have waited during this cold start
	refused int        // requests that were refused during it
}

func newColdState(now clock.Time) coldState {
	return coldState{tracker: coldstart.NewTracker(now)}
}

// setColdLimit sets what is configured for cold targets of the service.
func (b *backend) setColdLimit(l coldstart.Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	b.cold.tracker.SetLimit(l, now)
	b.coldChanged(now)
}

// doubtCold records that the current target may be cold from now on. It does nothing for an
// earlier incarnation of the target.
func (b *backend) doubtCold(t *targetIncarnation, e coldstart.Evidence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if current := b.incarnation.Load(); current != nil && (t == nil || t.target == current.target) {
		now := clock.Now()
		b.cold.tracker.Doubt(e, now)
		b.coldChanged(now)
	}
}

// doubtColdAfter records what a failed exchange with the target says about its cold start.
func (b *backend) doubtColdAfter(t *targetIncarnation, err error) {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		b.doubtCold(t, coldstart.ConnectionRefused)
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		b.doubtCold(t, coldstart.ConnectionReset)
	}
}

// observeCold applies a statement of the current target.
func (b *backend) observeCold(s coldstart.Statement, now clock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cold.tracker.Observe(s, now)
	b.coldChanged(now)
}

// writtenToTarget records that an item is written to the target now.
func (b *backend) writtenToTarget(id uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cold.tracker.Written(id, clock.Now())
}

// answeredByTarget records that the target has responded to an item.
func (b *backend) answeredByTarget(id uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := clock.Now()
	b.cold.tracker.Answered(id, now)
	b.coldChanged(now) // the response may refute a doubt
}

// countCold counts a request that has waited for the cold target or was refused because of
// it. The caller holds b.mu.
func (b *backend) countCold(refused bool, now clock.Time) {
	if !b.cold.tracker.Pacing(now) {
		return
	}
	if refused {
		b.cold.refused++
		b.d.metrics.count(metricColdRefused)
		return
	}
	b.cold.held++
	b.d.metrics.count(metricColdHeld)
}

// coldChanged logs a change of the target's cold start and starts the requests that may now be
// sent. The caller holds b.mu.
func (b *backend) coldChanged(now clock.Time) {
	c := &b.cold
	s := c.tracker.State(now)
	if c.cold != s.Cold {
		c.cold = s.Cold
		b.applyDecisions(b.queue.Advance(now))
		b.scheduleAdvance(now)
	}
	b.logCold(s, now)
}

// logCold logs a change of the target's cold start. The caller holds b.mu.
func (b *backend) logCold(s coldstart.State, now clock.Time) {
	c := &b.cold
	current := b.incarnation.Load()
	if current == nil || s.Cold == c.logged.Cold && s.Unknown == c.logged.Unknown || now.Before(c.nextLog) {
		return
	}
	if s.Cold && !c.logged.Cold {
		c.since = s.Since
	}
	c.logged, c.nextLog = s, now.Add(coldLogInterval)
	fields := []zap.Field{zap.String("target", current.target.ID), zap.String("evidence", string(s.Evidence))}
	if s.Cold {
		fields = append(fields, zap.Bool("known", !s.Unknown), zap.Float64("per_second", c.tracker.Rate()), zap.Duration("since", now.Sub(s.Since)))
		if !s.Unknown {
			fields = append(fields, zap.Duration("left", s.Until.Sub(now)))
		}
		logevent.Log(b.d.log, logevent.TargetCold, fields...)
		return
	}
	logevent.Log(b.d.log, logevent.TargetWarm, append(fields, zap.Duration("after", now.Sub(c.since)), zap.Int("held", c.held), zap.Int("refused", c.refused))...)
	c.held, c.refused = 0, 0
}

// coldTarget returns whether the target is cold, for metrics and the status.
func (b *backend) coldTarget() coldstart.State {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.incarnation.Load() == nil {
		return coldstart.State{}
	}
	return b.cold.tracker.State(clock.Now())
}

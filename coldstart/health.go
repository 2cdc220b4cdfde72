package coldstart

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

const (
	// minCheckInterval is the shortest time between two health checks. Each one costs the
	// target about as much as a short request.
	minCheckInterval = time.Second
	// maxCheckInterval is the longest time between two health checks on suspicion, which
	// doubles with each one that found a warm target.
	maxCheckInterval = 30 * time.Second
)

// checks decides when health checks are sent.
type checks struct {
	suspected bool // the target seems to be cold and has not said so
	awaited   bool // a check waits for its turn
	next      clock.Time
	interval  time.Duration // after a check on suspicion
}

// due reports whether a check is to be sent now. unknown is set if it is not known whether
// the target is cold.
func (c *checks) due(unknown bool, now clock.Time) bool {
	return (unknown || c.suspected) && !now.Before(c.next)
}

// sent records that a check is sent.
func (c *checks) sent(unknown bool, now clock.Time) {
	c.next = now.Add(minCheckInterval)
	if !unknown {
		c.interval = min(max(2*c.interval, 2*minCheckInterval), maxCheckInterval)
		c.next = now.Add(c.interval)
	}
	c.suspected, c.awaited = false, false
}

// answered records what the target has stated.
func (c *checks) answered(cold bool) {
	if cold {
		c.interval = 0
		c.suspected = false
	}
}

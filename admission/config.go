package admission

import "time"

// Config holds the parameters of a Queue.
type Config struct {
	Slots      int // maximum number of concurrent requests at the target; 1 if less
	QueueLimit int // maximum number of queued requests; 0 disables queueing
	// MaxWait is the longest expected wait at which a request is still
	// queued; DefaultMaxWait if 0.
	MaxWait time.Duration
	// FixedLimit keeps the concurrency limit at Slots. Otherwise the limit is
	// lowered while the target slows down.
	FixedLimit bool
	// MinLimit is the lower bound of the concurrency limit; a quarter of Slots
	// if 0.
	MinLimit int
	// Window is the time between adjustments of the limit; DefaultWindow if 0.
	Window time.Duration
}

const (
	// DefaultMaxWait is the default of Config.MaxWait.
	DefaultMaxWait = 250 * time.Millisecond
	// DefaultWindow is the default of Config.Window.
	DefaultWindow = 100 * time.Millisecond
)

func (c Config) withDefaults() Config {
	c.Slots = max(c.Slots, 1)
	if c.MaxWait == 0 {
		c.MaxWait = DefaultMaxWait
	}
	if c.MinLimit == 0 {
		c.MinLimit = max(c.Slots/4, 1)
	}
	if c.Window == 0 {
		c.Window = DefaultWindow
	}
	return c
}

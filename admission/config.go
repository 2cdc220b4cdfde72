package admission

import "time"

// Config holds the parameters of a Queue. Zero fields but Slots take the
// defaults named below.
type Config struct {
	Slots      int // requests that the target runs at once
	QueueLimit int // requests that wait; 0 lets none wait
	// MaxWait is the longest expected wait at which a request is still taken
	// into the queue; DefaultMaxWait if 0.
	MaxWait time.Duration
	// FixedLimit keeps the limit at Slots. Otherwise it falls below where the
	// target slows.
	FixedLimit bool
	// MinLimit is the lowest limit; a quarter of Slots if 0.
	MinLimit int
	// Window is the time between changes of the limit; DefaultWindow if 0.
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

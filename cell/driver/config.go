package driver

import (
	"cmp"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/platformlog"
)

// Config holds the parameters and dependencies of a Driver. All interfaces are
// required.
type Config struct {
	Cell   cell.Config
	Stream platformlog.Stream

	Log        platformlog.Log
	Sender     Sender
	LeaseTable LeaseTable
	Target     Target
	Observer   Observer

	// AppendTimeout limits one append to the log.
	AppendTimeout time.Duration
	// ReadTimeout limits one read of the log, including its long poll.
	ReadTimeout time.Duration
	// ShortReadTimeout limits a read that does not wait for new records.
	ShortReadTimeout time.Duration
	// ReadBackoff is the pause after a failed read.
	ReadBackoff time.Duration
	// ControlTimeout limits one control request to the target.
	ControlTimeout time.Duration
}

// Defaults of the optional fields of Config.
const (
	DefaultAppendTimeout    = 1 * time.Second
	DefaultReadTimeout      = 7 * time.Second
	DefaultShortReadTimeout = 250 * time.Millisecond
	DefaultReadBackoff      = 100 * time.Millisecond
	DefaultControlTimeout   = 500 * time.Millisecond
)

// readLimit is the maximum number of records requested in one read.
const readLimit = 256

// maxTickInterval is the maximum time between two Tick events.
const maxTickInterval = 100 * time.Millisecond

func (c *Config) setDefaults() {
	c.AppendTimeout = cmp.Or(c.AppendTimeout, DefaultAppendTimeout)
	c.ReadTimeout = cmp.Or(c.ReadTimeout, DefaultReadTimeout)
	c.ShortReadTimeout = cmp.Or(c.ShortReadTimeout, DefaultShortReadTimeout)
	c.ReadBackoff = cmp.Or(c.ReadBackoff, DefaultReadBackoff)
	c.ControlTimeout = cmp.Or(c.ControlTimeout, DefaultControlTimeout)
}

package driver

import (
	"cmp"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/platformlog"
)

// Config holds what a Driver is built from. All interfaces are required.
type Config struct {
	Cell   cell.Config
	Stream platformlog.Stream

	Log        platformlog.Log
	Sender     Sender
	LeaseTable LeaseTable
	Target     Target
	Observer   Observer

	// AppendTimeout bounds one append to the log.
	AppendTimeout time.Duration
	// ReadTimeout bounds one read of the log, its long poll included.
	ReadTimeout time.Duration
	// QuickReadTimeout bounds a read that does not wait for a record.
	QuickReadTimeout time.Duration
	// ReadBackoff is the pause after a failed read.
	ReadBackoff time.Duration
	// OrderTimeout bounds one order to the target.
	OrderTimeout time.Duration
}

// Defaults of the optional fields of Config.
const (
	DefaultAppendTimeout    = 1 * time.Second
	DefaultReadTimeout      = 7 * time.Second
	DefaultQuickReadTimeout = 250 * time.Millisecond
	DefaultReadBackoff      = 100 * time.Millisecond
	DefaultOrderTimeout     = 500 * time.Millisecond
)

// readLimit is the largest number of records that one read asks for.
const readLimit = 256

// maxTickInterval is the longest time between two Ticks.
const maxTickInterval = 100 * time.Millisecond

func (c *Config) setDefaults() {
	c.AppendTimeout = cmp.Or(c.AppendTimeout, DefaultAppendTimeout)
	c.ReadTimeout = cmp.Or(c.ReadTimeout, DefaultReadTimeout)
	c.QuickReadTimeout = cmp.Or(c.QuickReadTimeout, DefaultQuickReadTimeout)
	c.ReadBackoff = cmp.Or(c.ReadBackoff, DefaultReadBackoff)
	c.OrderTimeout = cmp.Or(c.OrderTimeout, DefaultOrderTimeout)
}

package entry

import (
	"cmp"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/route"
	"github.com/parsleystack/parsleystack/transport"
)

// Config holds what a Gateway needs. Zero fields in the second group take the
// defaults named there.
type Config struct {
	Self   ident.Node
	Zone   ident.Zone
	Router *route.Router
	Pool   *transport.Pool
	// Source looks up owners on demand. If nil, owners are only taken
	// from the hints in refusals of other daemons.
	Source route.Source

	// Outdated reports whether the configuration in force is known not to be the newest
	// or not to be complete. Services that it lacks may exist then. May be nil.
	Outdated func() bool

	// Now reads the clock for deadlines; clock.Fast if nil.
	Now func() clock.Time
	// MaxBody is the largest request body in bytes; DefaultMaxBody if 0.
	MaxBody int
	// MaxHeader is the largest header block in bytes; DefaultMaxHeader if 0.
	MaxHeader int
	// ReadTimeout bounds the time to read a whole request; DefaultReadTimeout if 0.
	ReadTimeout time.Duration
	// IdleTimeout bounds the time between requests on a connection;
	// DefaultIdleTimeout if 0.
	IdleTimeout time.Duration
	// MaxConns is the largest number of concurrent connections; DefaultMaxConns
	// if 0.
	MaxConns int
	// HoldLimit is the largest number of requests of each service that are held
	// until their key has a new owner; DefaultHoldLimit if 0.
	HoldLimit int
	// DefaultTimeout is the timeout of requests for which the service's
	// configuration sets none; DefaultRequestTimeout if 0.
	DefaultTimeout time.Duration
	// DisableRetryBudget disables the retry budgets. It is the baseline in
	// measurements.
	DisableRetryBudget bool
	// Log may be nil.
	Log *zap.Logger
}

const (
	// DefaultMaxBody is the default of Config.MaxBody in bytes.
	DefaultMaxBody = 8 << 20
	// DefaultMaxHeader is the default of Config.MaxHeader in bytes.
	DefaultMaxHeader = 16 << 10
	// DefaultReadTimeout is the default of Config.ReadTimeout.
	DefaultReadTimeout = 10 * time.Second
	// DefaultIdleTimeout is the default of Config.IdleTimeout.
	DefaultIdleTimeout = time.Minute
	// DefaultMaxConns is the default of Config.MaxConns.
	DefaultMaxConns = 16 << 10
	// DefaultHoldLimit is the default of Config.HoldLimit.
	DefaultHoldLimit = 1024
	// DefaultRequestTimeout is the default of Config.DefaultTimeout.
	DefaultRequestTimeout = 5 * time.Second
)

func (c Config) withDefaults() Config {
	c.MaxBody = cmp.Or(c.MaxBody, DefaultMaxBody)
	c.MaxHeader = cmp.Or(c.MaxHeader, DefaultMaxHeader)
	c.ReadTimeout = cmp.Or(c.ReadTimeout, DefaultReadTimeout)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout)
	c.MaxConns = cmp.Or(c.MaxConns, DefaultMaxConns)
	c.HoldLimit = cmp.Or(c.HoldLimit, DefaultHoldLimit)
	c.DefaultTimeout = cmp.Or(c.DefaultTimeout, DefaultRequestTimeout)
	if c.Now == nil {
		c.Now = clock.Fast
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	return c
}

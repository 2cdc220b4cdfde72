package owner

import (
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/admission"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/lease"
	"github.com/parsleystack/parsleystack/target"
	"github.com/parsleystack/parsleystack/wire"
)

// Config holds what an Owner needs. Zero fields in the second group take the
// defaults named there.
type Config struct {
	Service ident.Service
	Leases  *lease.Table
	Target  *target.Client
	// Hints returns the owner of a point of the service if the daemon has one on
	// record; it may be nil. It must not block.
	Hints func(p keyspace.Point) (wire.Hint, bool)

	// Observe is called with the point of each keyed request whose range is
	// held; it may be nil. It must not block.
	Observe func(p keyspace.Point)

	// Now reads the clock for leases; clock.Now if nil.
	Now func() clock.Time
	// Fast reads the clock for deadlines and durations; clock.Fast if nil. Its
	// readings must not be compared with those of Now.
	Fast func() clock.Time
	// LeaseMargin is the minimum time between the deadline of a request and the
	// end of the lease if targets do not check fencing tokens;
	// DefaultLeaseMargin if 0.
	LeaseMargin time.Duration
	// Admission holds the parameters of the admission queue; slots and queue
	// limit are set from the service's configuration.
	Admission admission.Config
	// DisableAdmission sends all requests to the target immediately, limited
	// only by its connections. It is the baseline in measurements.
	DisableAdmission bool
	// Idempotency bounds the records of requests with idempotency keys.
	Idempotency IdempotencyConfig
	// Log may be nil.
	Log *zap.Logger
}

// DefaultLeaseMargin is the default of Config.LeaseMargin.
const DefaultLeaseMargin = 100 * time.Millisecond

func (c Config) withDefaults() Config {
	if c.Now == nil {
		c.Now = clock.Now
	}
	if c.Fast == nil {
		c.Fast = clock.Fast
	}
	if c.LeaseMargin == 0 {
		c.LeaseMargin = DefaultLeaseMargin
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Observe == nil {
		c.Observe = func(keyspace.Point) {}
	}
	if c.Hints == nil {
		c.Hints = func(keyspace.Point) (wire.Hint, bool) { return wire.Hint{}, false }
	}
	c.Idempotency = c.Idempotency.withDefaults()
	return c
}

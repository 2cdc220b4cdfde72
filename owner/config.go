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
	// Hints names the owner of a point of the service as far as the daemon
	// knows it. It must not block.
	Hints func(p keyspace.Point) (wire.Hint, bool)

	// Observe is told of each request that is admitted to a held range by its
	// key; it may be nil. It must not block.
	Observe func(p keyspace.Point)

	// Now reads the clock that leases are measured on; clock.Now if nil.
	Now func() clock.Time
	// Fast reads the clock that deadlines and durations are measured on;
	// clock.Fast if nil. Its readings are not compared with those of Now.
	Fast func() clock.Time
	// LeaseMargin is kept between the deadline of a request and the end of the
	// lease where targets do not check tokens; DefaultLeaseMargin if 0.
	LeaseMargin time.Duration
	// Admission holds the parameters of the queue; slots and queue limit come
	// from the service's configuration.
	Admission admission.Config
	// NoAdmission hands all requests to the target at once, as a baseline of
	// measurements. Only its connections bound them then.
	NoAdmission bool
	// Memory bounds what is remembered of requests with idempotency keys.
	Memory MemoryConfig
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
	c.Memory = c.Memory.withDefaults()
	return c
}

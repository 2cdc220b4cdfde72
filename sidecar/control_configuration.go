package sidecar

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/freshness"
	"github.com/parsleystack/parsleystack/metastore"
	"github.com/parsleystack/parsleystack/platform"
)

// Sources of a configuration, for the log. Other sources are addresses of daemons.
const (
	fromStorePoll  = "store"
	fromStoreCheck = "check of the store"
)

// configurationState is what the control goroutine knows about the currency of the
// configuration. Other goroutines use only the atomic fields.
type configurationState struct {
	tracker  *freshness.Tracker
	newestAt clock.Time       // when the newest known version was first heard of
	loaded   bool             // the store's newest configuration was read once
	next     metastore.Offset // after the newest record that was read

	behindSince clock.Time // since when another daemon has a newer version; Never if none has
	fetching    int        // fetches from other daemons in progress
	fetches     int        // started in this process

	asOf   atomic.Int64  // clock.Time as of which the newest known version was current
	newest atomic.Uint64 // copy of control.newestConfig
}

// recordKnownVersion records that a version exists.
func (c *control) recordKnownVersion(version uint64, now clock.Time) {
	if version > c.newestConfig {
		c.newestConfig, c.config.newestAt = version, now
		c.config.newest.Store(version)
		c.viewStale = true // requests without a route are no longer refused for good
	}
}

// configurationRead applies the records that were read from the operator's partition
// by a call sent at a time. snapshot is set if b has the newest record of each key.
func (c *control) configurationRead(b metastore.Batch, sent clock.Time, source string, snapshot bool) {
	_, key := platform.ConfigurationPartition()
	c.evacuationsRead(&b, snapshot, snapshot && b.End < c.config.next && b.End.Era() == c.config.next.Era())
	for i := range b.Records {
		r := &b.Records[i]
		if r.Key == key {
			c.applyConfiguration(r.Value, source)
		}
		c.config.next = max(c.config.next, r.Offset+1)
	}
	if snapshot { // the partition may have been replaced by a shorter one
		c.config.loaded, c.config.next = true, b.End
	}
	c.confirmConfiguration(sent, 0)
}

// confirmConfiguration records that no version newer than the newest known one
// existed at a time, as was passed on for a number of hops.
func (c *control) confirmConfiguration(asOf clock.Time, hops int) {
	c.config.tracker.Confirm(asOf, hops, rand.Float64())
	c.config.asOf.Store(int64(c.config.tracker.AsOf()))
}

// configurationAge returns the time since the newest known version was known to be
// the operator's newest.
func (c *control) configurationAge(now clock.Time) time.Duration {
	return now.Sub(clock.Time(c.config.asOf.Load()))
}

// statusConfigurationAge returns the age for a status, in milliseconds. A daemon that
// has yet to obtain the newest known version can't confirm its own.
func (c *control) statusConfigurationAge(now clock.Time) uint32 {
	if c.newestConfig > c.configVersion() {
		return fleet.UnknownAge
	}
	return uint32(min(c.configurationAge(now).Milliseconds()+1, fleet.UnknownAge)) // rounded up
}

// configurationStale reports whether a version that was acknowledged configApplyMs ago
// may be unknown to this daemon.
func (c *control) configurationStale() bool {
	return c.configurationAge(clock.Now()) > c.d.settings().ConfigApplyTime
}

// configurationFields are the log fields that tell an outdated configuration from an
// unknown route.
func (c *control) configurationFields() []zap.Field {
	return []zap.Field{zap.Uint64("newest_config", c.config.newest.Load()), zap.Duration("config_age", c.configurationAge(clock.Now()))}
}

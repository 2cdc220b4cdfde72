package sidecar

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/freshness"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/metastore"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/routetable"
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

// heardOfConfiguration records that a version exists.
func (c *control) heardOfConfiguration(version uint64, now clock.Time) {
	if version > c.newestConfig {
		c.newestConfig, c.config.newestAt = version, now
		c.config.newest.Store(version)
		c.viewStale = true // requests without a route are no longer refused for good
	}
}

// configurationRead applies the records that were read from the operator's partition
// by a call sent at a time.
func (c *control) configurationRead(b metastore.Batch, sent clock.Time, source string) {
	if !c.config.loaded {
		c.config.loaded, c.config.next = true, b.End
	}
	_, key := platform.ConfigurationPartition()
	for i := range b.Records {
		r := &b.Records[i]
		if r.Key == key {
			c.applyConfiguration(r.Value, source)
		}
		c.config.next = max(c.config.next, r.Offset+1)
	}
	c.confirmConfiguration(sent)
}

// confirmConfiguration records that no version newer than the newest known one
// existed at a time.
func (c *control) confirmConfiguration(asOf clock.Time) {
	c.config.tracker.Confirm(asOf, rand.Float64())
	c.config.asOf.Store(int64(c.config.tracker.AsOf()))
}

// configurationAge returns the time since the newest known version was known to be
// the operator's newest.
func (c *control) configurationAge(now clock.Time) time.Duration {
	return now.Sub(clock.Time(c.config.asOf.Load()))
}

// unknownAge is the age in a status of a daemon that can't confirm its configuration.
const unknownAge = math.MaxUint32

// statusConfigurationAge returns the age for a status, in milliseconds. A daemon that
// has yet to obtain the newest known version can't confirm its own.
func (c *control) statusConfigurationAge(now clock.Time) uint32 {
	if c.newestConfig > c.configVersion() {
		return unknownAge
	}
	return uint32(min(c.configurationAge(now).Milliseconds(), unknownAge))
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

// peerWait is how long a new process waits for a status of another daemon, which names a
// version that the store may not show yet.
const peerWait = 5 * time.Second

// configurationConfirmed reports whether the daemon knows that the configuration of v is
// the newest one: it was confirmed recently, all rows were decoded, and no other daemon
// has named a newer version. Only then does the lack of a route mean that it does not
// exist.
func (c *control) configurationConfirmed(v *view) bool {
	if v.configBehind || v.routes.Partial() || c.configurationStale() {
		return false
	}
	return v.heardPeer || clock.Now().Sub(c.d.started) >= peerWait
}

// applyConfiguration applies the operator's configuration, which was obtained from
// source.
func (c *control) applyConfiguration(value []byte, source string) {
	now := clock.Now()
	cfg, err := platform.DecodeConfiguration(value)
	if err != nil {
		c.d.metrics.count(metricConfigRejected)
		logevent.Log(c.log, logevent.ConfigRejected, zap.Uint64("version", uint64(cfg.Version)), zap.String("from", source), zap.Error(err))
		c.heardOfConfiguration(uint64(cfg.Version), now) // routes that only this version has must not look absent
		return
	}
	if c.routes != nil && cfg.Version <= c.routes.Version() {
		return
	}
	c.routes, c.rawConfig = routetable.New(cfg), value
	c.heardOfConfiguration(uint64(cfg.Version), now)
	c.viewStale, c.status.urgent = true, true
	logevent.Log(c.log, logevent.RoutesInForce, zap.Uint64("version", uint64(cfg.Version)), zap.String("from", source), zap.Duration("after", now.Sub(c.config.newestAt)), zap.Int("routes", len(cfg.Routes)), zap.Int("services", len(cfg.Services)))
	if n := len(cfg.RowErrors); n > 0 {
		c.d.metrics.countRows(n)
		logevent.Log(c.log, logevent.ConfigRowsRejected, zap.Uint64("version", uint64(cfg.Version)), zap.Int("rows", n), zap.NamedError("first", cfg.RowErrors[0]))
	}
}

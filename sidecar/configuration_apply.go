package sidecar

import (
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/routetable"
)

// applyConfiguration applies the operator's configuration, which was obtained from
// source.
func (c *control) applyConfiguration(value []byte, source string) {
	now := clock.Now()
	cfg, err := platform.DecodeConfiguration(value)
	if err != nil {
		c.d.metrics.count(metricConfigRejected)
		logevent.Log(c.log, logevent.ConfigRejected, zap.Uint64("version", uint64(cfg.Version)), zap.String("from", source), zap.Error(err))
		c.recordKnownVersion(uint64(cfg.Version), now) // its routes must not look absent
		return
	}
	if c.routes != nil && cfg.Version <= c.routes.Version() {
		return
	}
	c.routes, c.rawConfig = routetable.New(cfg), value
	c.recordKnownVersion(uint64(cfg.Version), now)
	c.viewStale, c.status.urgent = true, true
	c.d.backend.setColdLimit(c.coldLimit())
	if c.self.State != fleet.TargetUnknown {
		c.d.backend.setTarget(&c.self, c.heartbeats.leavingSince, c.targetMaxConns())
	}
	logevent.Log(c.log, logevent.RoutesInForce, zap.Uint64("version", uint64(cfg.Version)), zap.String("from", source), zap.Duration("after", now.Sub(c.config.newestAt)), zap.Int("routes", len(cfg.Routes)), zap.Int("services", len(cfg.Services)))
	if n := len(cfg.RowErrors); n > 0 {
		c.d.metrics.countRows(n)
		logevent.Log(c.log, logevent.ConfigRowsRejected, zap.Uint64("version", uint64(cfg.Version)), zap.Int("rows", n), zap.NamedError("first", cfg.RowErrors[0]))
	}
	if n := len(cfg.UnknownKinds); n > 0 {
		c.d.metrics.set.GetOrCreateCounter(metricUnknownKinds).Add(n)
		logevent.Log(c.log, logevent.RouteKindsUnknown, zap.Uint64("version", uint64(cfg.Version)), zap.Int("routes", n), zap.NamedError("first", cfg.UnknownKinds[0]))
	}
}

// peerWait is how long a new process waits for a status of another daemon, which may name
// a version that the store has acknowledged and does not show yet. Statuses are sent more
// than once a second.
const peerWait = 2 * time.Second

// configurationConfirmed reports whether the daemon knows that the configuration of v is
// the newest one and has decoded all of it. Only then does the lack of a route mean that
// it does not exist.
func (d *Daemon) configurationConfirmed(v *view) bool {
	if v.configBehind || v.routes.Partial() || d.control.configurationStale() {
		return false
	}
	return v.receivedStatus || clock.Now().Sub(d.started) >= peerWait
}

package sidecar

import (
	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/routetable"
)

// applyConfiguration applies the operator's configuration.
func (c *control) applyConfiguration(value []byte) {
	cfg, err := platform.DecodeConfiguration(value)
	if err != nil {
		c.d.metrics.count(metricConfigRejected)
		logevent.Log(c.log, logevent.ConfigRejected, zap.Uint64("version", uint64(cfg.Version)), zap.Error(err))
		// Routes that only this version has must not look absent.
		c.newestConfig = max(c.newestConfig, uint64(cfg.Version))
		c.viewStale = true
		return
	}
	if c.routes != nil && cfg.Version <= c.routes.Version() {
		return
	}
	c.routes, c.rawConfig = routetable.New(cfg), value
	c.newestConfig = max(c.newestConfig, uint64(cfg.Version))
	c.viewStale, c.status.urgent = true, true
	logevent.Log(c.log, logevent.RoutesInForce, zap.Uint64("version", uint64(cfg.Version)), zap.Int("routes", len(cfg.Routes)), zap.Int("services", len(cfg.Services)))
	if n := len(cfg.RowErrors); n > 0 {
		c.d.metrics.countRows(n)
		logevent.Log(c.log, logevent.ConfigRowsRejected, zap.Uint64("version", uint64(cfg.Version)), zap.Int("rows", n), zap.NamedError("first", cfg.RowErrors[0]))
	}
}

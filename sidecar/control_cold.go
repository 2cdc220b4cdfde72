package sidecar

import (
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/coldstart"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/routetable"
)

// targetService returns the service of the local target by the configuration. It is the zero
// value if there is no configuration yet, or none of this service.
func (c *control) targetService() routetable.Service {
	if c.routes == nil {
		return routetable.Service{}
	}
	s, _ := c.routes.Service(ident.Service(c.self.Service))
	return s
}

// coldLimit returns what is configured for cold targets of the own service.
func (c *control) coldLimit() coldstart.Limit {
	s, settings := c.targetService(), c.d.settings()
	return coldstart.Limit{
		Known: c.routes != nil, PerSecond: s.ColdPerSecond, Duration: s.ColdStart,
		Overage: settings.ColdOverage, Slack: settings.ColdSlack,
	}
}

// checkCold follows the time for the cold start of the target.
func (c *control) checkCold(now clock.Time) {
	c.d.backend.checkCold(c.targetService().HealthPath, now)
}

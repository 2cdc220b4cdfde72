package settings

import (
	"time"

	"github.com/parsleystack/parsleystack/yamlfile"
)

// Log describes the platform's log service.
type Log struct {
	// Addr is the address of the log service, IP:port.
	Addr string `yaml:"address"`
	// Retention is the time for which the log service retains records.
	Retention time.Duration `yaml:"retention"`
}

const (
	minRetention = 10 * time.Second
	maxRetention = 10 * 365 * 24 * time.Hour
)

func (l *Log) check(c *yamlfile.Checker) {
	c.Addr("platform_log.address", l.Addr)
	c.Duration("platform_log.retention", l.Retention, minRetention, maxRetention)
}

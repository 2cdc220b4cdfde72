package settings

import "github.com/parsleystack/parsleystack/yamlfile"

// Limits bounds the memory and connections that callers and other daemons can
// use up in the daemon.
type Limits struct {
	// RequestBytes is the maximum size of a request body.
	RequestBytes int `yaml:"request_bytes"`
	// ResponseBytes is the maximum size of the body of a target's response.
	ResponseBytes int `yaml:"answer_bytes"`
	// KeyBytes is the maximum size of a key.
	KeyBytes int `yaml:"key_bytes"`
	// CallerConns is the maximum number of connections from callers.
	CallerConns int `yaml:"caller_connections"`
	// InFlight is the maximum number of callers' requests in progress.
	InFlight int `yaml:"in_flight"`
}

const (
	maxBodyBytes = 1 << 30
	maxKeyBytes  = 4096
	maxInFlight  = 1_000_000
)

func (l *Limits) check(c *yamlfile.Checker) {
	c.Int("limits.request_bytes", int64(l.RequestBytes), 1, maxBodyBytes, "bytes")
	c.Int("limits.answer_bytes", int64(l.ResponseBytes), 1, maxBodyBytes, "bytes")
	c.Int("limits.key_bytes", int64(l.KeyBytes), 1, maxKeyBytes, "bytes")
	c.Int("limits.caller_connections", int64(l.CallerConns), 1, maxConns, "connections")
	c.Int("limits.in_flight", int64(l.InFlight), 1, maxInFlight, "requests at once")
}

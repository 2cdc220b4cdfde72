package settings

import "github.com/parsleystack/parsleystack/yamlfile"

// Limits bounds what callers and other daemons can make the daemon hold.
type Limits struct {
	// RequestBytes is the largest body of a request.
	RequestBytes int `yaml:"request_bytes"`
	// AnswerBytes is the largest body of a target's answer.
	AnswerBytes int `yaml:"answer_bytes"`
	// KeyBytes is the largest key.
	KeyBytes int `yaml:"key_bytes"`
	// CallerConns is the number of connections that callers may open.
	CallerConns int `yaml:"caller_connections"`
	// InFlight is the number of requests of callers that the daemon holds at once.
	InFlight int `yaml:"in_flight"`
}

const (
	maxBodyBytes = 1 << 30
	maxKeyBytes  = 4096
	maxInFlight  = 1_000_000
)

func (l *Limits) check(c *yamlfile.Checker) {
	c.Int("limits.request_bytes", int64(l.RequestBytes), 1, maxBodyBytes, "bytes")
	c.Int("limits.answer_bytes", int64(l.AnswerBytes), 1, maxBodyBytes, "bytes")
	c.Int("limits.key_bytes", int64(l.KeyBytes), 1, maxKeyBytes, "bytes")
	c.Int("limits.caller_connections", int64(l.CallerConns), 1, maxConns, "connections")
	c.Int("limits.in_flight", int64(l.InFlight), 1, maxInFlight, "requests at once")
}

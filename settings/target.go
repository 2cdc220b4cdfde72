package settings

import "github.com/parsleystack/parsleystack/yamlfile"

// Target describes the target beside the daemon.
type Target struct {
	// Addr is the address that the target listens on for HTTP, IP:port.
	Addr string `yaml:"address"`
	// Slots is the number of requests that the target runs concurrently.
	Slots int `yaml:"slots"`
	// Conns is the maximum number of connections that the target accepts.
	Conns int `yaml:"connections"`
}

const (
	maxSlots = 100_000
	maxConns = 1_000_000
)

func (t *Target) check(c *yamlfile.Checker) {
	c.Addr("target.address", t.Addr)
	c.Int("target.slots", int64(t.Slots), 1, maxSlots, "requests at once")
	c.Int("target.connections", int64(t.Conns), 1, maxConns, "connections")
	if t.Conns >= 1 && t.Conns < t.Slots {
		c.Fail("target.connections", "there are fewer connections than slots", "write at least as many connections as slots")
	}
}

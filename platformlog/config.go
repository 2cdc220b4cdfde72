package platformlog

import (
	"net"
	"time"
)

const (
	defaultAppendTimeout = 2 * time.Second
	defaultLongPoll      = 5 * time.Second
	defaultDialTimeout   = time.Second
	defaultMaxConns      = 64

	// longPollGrace is added to the long-poll time before a read is given up.
	longPollGrace = 2 * time.Second

	// idleConnDuration is shorter than usual idle timeouts of servers, so that
	// an append seldom meets a connection that the server is closing.
	idleConnDuration = 10 * time.Second
)

// ClientConfig holds the parameters of a Client. Zero durations and counts
// take their defaults.
type ClientConfig struct {
	Addr          string        // host:port of the log service
	AppendTimeout time.Duration // limit of one append if its context has no earlier deadline; default 2 s
	LongPoll      time.Duration // longest wait of a read for a first record; default 5 s
	DialTimeout   time.Duration // limit of connecting; default 1 s
	MaxConns      int           // default 64

	// Dial replaces net.DialTimeout if set.
	Dial func(addr string, timeout time.Duration) (net.Conn, error)
}

func (c ClientConfig) withDefaults() ClientConfig {
	if c.AppendTimeout == 0 {
		c.AppendTimeout = defaultAppendTimeout
	}
	if c.LongPoll == 0 {
		c.LongPoll = defaultLongPoll
	}
	if c.DialTimeout == 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.MaxConns == 0 {
		c.MaxConns = defaultMaxConns
	}
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	return c
}

func dialTCP(addr string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", addr, timeout)
}

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

	// longPollGrace is the time beyond the long-poll time after which a read
	// times out.
	longPollGrace = 2 * time.Second

	// idleConnDuration is shorter than the usual idle timeouts of servers, so
	// that an append is rarely sent on a connection that the server is closing.
	idleConnDuration = 10 * time.Second
)

// ClientConfig configures a Client. Zero durations and counts are replaced by
// their defaults.
type ClientConfig struct {
	Addr          string        // host:port of the log service
	AppendTimeout time.Duration // timeout of an append unless its context has an earlier deadline; default 2 s
	LongPoll      time.Duration // longest time that a read waits for a first record; default 5 s
	DialTimeout   time.Duration // timeout of establishing a connection; default 1 s
	MaxConns      int           // largest number of open connections; default 64

	// Dial replaces net.DialTimeout if it is set.
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

package transport

import (
	"cmp"
	"crypto/tls"
	"time"

	"github.com/parsleystack/parsleystack/egress"
	"github.com/parsleystack/parsleystack/recvlimit"
	"github.com/parsleystack/parsleystack/wire"
)

// Config configures a Pool or a Server. Zero fields other than Hello take the
// defaults below.
type Config struct {
	// Hello identifies the local daemon to its peers.
	Hello wire.Hello
	// TLS is used on all connections if it is not nil. For mutual TLS it holds
	// a certificate, RootCAs, ClientCAs and ClientAuth.
	TLS *tls.Config
	// ClientTLS returns the configuration of one dialed connection, in place of
	// TLS, if it is not nil.
	ClientTLS func() *tls.Config
	// MaxFrame is the largest frame in bytes; wire.DefaultMaxFrame if 0.
	MaxFrame int
	// MaxBacklog is the number of bytes that may be queued for one connection;
	// DefaultMaxBacklog if 0.
	MaxBacklog int
	// Memory bounds what frames take, received ones and those that wait to be sent, together
	// with other messages; no limit if nil.
	Memory *recvlimit.Pool
	// MaxConns is the number of connections that a Server accepts; further ones are closed
	// at once. No limit if 0.
	MaxConns int
	// MaxHandshakes is the number of these whose handshake is not complete; for a further one
	// the oldest is closed. No limit of its own if 0.
	MaxHandshakes int
	// HandshakeTimeout bounds dialing and the exchange of Hello frames;
	// DefaultHandshakeTimeout if 0.
	HandshakeTimeout time.Duration
	// WriteTimeout bounds one write; a connection whose peer reads nothing for
	// that long is closed. DefaultWriteTimeout if 0.
	WriteTimeout time.Duration
	// FrameTimeout bounds the time from the first byte of a frame to its last;
	// DefaultFrameTimeout if 0.
	FrameTimeout time.Duration
	// Egress schedules what is sent over the instance's link; nil if the link's rate is
	// not bounded. Large frames of ClassBulk are sent in segments.
	Egress *egress.Link
	// MinBackoff and MaxBackoff bound the jittered pause between failed dials;
	// DefaultMinBackoff and DefaultMaxBackoff if 0.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// VerdictWait returns how long Do waits, after its context has ended with a cause, for the
	// peer's answer to the request that it cancels: the peer knows whether the request was run.
	// Do does not wait if it is nil.
	VerdictWait func(cause error) time.Duration
	// IdleTimeout is the minimum time without a request after which a request
	// or bulk connection is closed; DefaultIdleTimeout if 0.
	IdleTimeout time.Duration
}

const (
	// DefaultMaxBacklog is the default of Config.MaxBacklog in bytes.
	DefaultMaxBacklog = 32 << 20
	// DefaultHandshakeTimeout is the default of Config.HandshakeTimeout.
	DefaultHandshakeTimeout = time.Second
	// DefaultWriteTimeout is the default of Config.WriteTimeout.
	DefaultWriteTimeout = 5 * time.Second
	// DefaultFrameTimeout is the default of Config.FrameTimeout. The largest frame of
	// 64 MB takes half a second on a link of 1000 Mbit/s.
	DefaultFrameTimeout = 30 * time.Second
	// DefaultMinBackoff is the default of Config.MinBackoff.
	DefaultMinBackoff = 20 * time.Millisecond
	// DefaultMaxBackoff is the default of Config.MaxBackoff.
	DefaultMaxBackoff = time.Second
	// DefaultIdleTimeout is the default of Config.IdleTimeout.
	DefaultIdleTimeout = 30 * time.Second
)

func (c Config) withDefaults() Config {
	c.MaxFrame = cmp.Or(c.MaxFrame, wire.DefaultMaxFrame)
	c.MaxBacklog = cmp.Or(c.MaxBacklog, DefaultMaxBacklog)
	c.HandshakeTimeout = cmp.Or(c.HandshakeTimeout, DefaultHandshakeTimeout)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, DefaultWriteTimeout)
	c.FrameTimeout = cmp.Or(c.FrameTimeout, DefaultFrameTimeout)
	c.MinBackoff = cmp.Or(c.MinBackoff, DefaultMinBackoff)
	c.MaxBackoff = cmp.Or(c.MaxBackoff, DefaultMaxBackoff)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout)
	if c.VerdictWait == nil {
		c.VerdictWait = func(error) time.Duration { return 0 }
	}
	return c
}

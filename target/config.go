package target

import (
	"time"

	"github.com/parsleystack/parsleystack/recvlimit"
)

// Config configures a Client. Zero fields take the defaults below.
type Config struct {
	Addr string // address of the target, IP:port
	// MaxConns is the maximum number of connections for requests;
	// DefaultMaxConns if 0. Control requests use up to ControlConns more.
	MaxConns int
	// WarmConns is the number of idle connections that Run keeps open;
	// DefaultWarmConns if 0.
	WarmConns int
	// MaxBody is the largest response body in bytes; DefaultMaxBody if 0.
	MaxBody int
	// Memory bounds what response bodies take, together with other messages; no limit if nil.
	Memory *recvlimit.Pool
	// Source is named in errors about too large responses; recvlimit.Target if empty.
	Source recvlimit.Source
	// AllowCloseDelimited allows responses whose body ends with the connection.
	// Otherwise they are an error, since a truncated body can't be distinguished
	// from a complete one if the target's host fails.
	AllowCloseDelimited bool
	// MaxIdle is the time after which an idle connection is not reused, unless
	// the Keep-Alive field of a response states a shorter one; no limit if 0.
	MaxIdle time.Duration
	// DialTimeout bounds the dialing of a connection; DefaultDialTimeout if 0.
	DialTimeout time.Duration
	// ReceiveBuffer is the size in bytes of the receive buffer of each connection, if not 0. The
	// kernel holds up to twice as much of responses for which Memory has no room yet.
	ReceiveBuffer int
	// OnClosed is called when an idle connection that a call would use was closed by the
	// target; nil for no call.
	OnClosed func()
	// OnUploadWait is called with the time for which a response that ended with its connection waited
	// until the target had taken the request; nil for no call.
	OnUploadWait func(time.Duration)
	// ControlTimeout bounds a control request; DefaultControlTimeout if 0.
	ControlTimeout time.Duration
}

const (
	// ControlConns is the maximum number of connections for control requests.
	ControlConns = 2
	// DefaultMaxConns is the default of Config.MaxConns.
	DefaultMaxConns = 128
	// DefaultWarmConns is the default of Config.WarmConns.
	DefaultWarmConns = 8
	// DefaultMaxBody is the default of Config.MaxBody in bytes.
	DefaultMaxBody = 8 << 20
	// DefaultDialTimeout is the default of Config.DialTimeout.
	DefaultDialTimeout = 500 * time.Millisecond
	// DefaultControlTimeout is the default of Config.ControlTimeout.
	DefaultControlTimeout = time.Second
)

func (c Config) withDefaults() Config {
	if c.MaxConns == 0 {
		c.MaxConns = DefaultMaxConns
	}
	if c.WarmConns == 0 {
		c.WarmConns = DefaultWarmConns
	}
	if c.MaxBody == 0 {
		c.MaxBody = DefaultMaxBody
	}
	if c.Source == "" {
		c.Source = recvlimit.Target
	}
	if c.DialTimeout == 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	if c.ControlTimeout == 0 {
		c.ControlTimeout = DefaultControlTimeout
	}
	return c
}

package target

import "time"

// Config holds the parameters of a Client. Zero fields take the defaults named
// below.
type Config struct {
	Addr string // address of the target, IP:port
	// MaxConns is the number of connections for requests; orders use up to
	// OrderConns more.
	MaxConns int
	// WarmConns is the number of idle connections that Run keeps open;
	// DefaultWarmConns if 0.
	WarmConns int
	// MaxBody is the largest body of an answer in bytes; DefaultMaxBody if 0.
	MaxBody int
	// AllowCloseDelimited takes answers that end with their connection. Otherwise they are
	// an error, since a torn one can't be told from a whole one if the target's
	// host fails.
	AllowCloseDelimited bool
	// MaxIdle is the time after which an idle connection is not used again,
	// unless an answer's Keep-Alive field states a shorter one; no bound if 0.
	MaxIdle time.Duration
	// DialTimeout bounds the opening of a connection; DefaultDialTimeout if 0.
	DialTimeout time.Duration
	// OrderTimeout bounds an order; DefaultOrderTimeout if 0.
	OrderTimeout time.Duration
}

const (
	// ControlConns is the number of connections used by orders.
	ControlConns = 2
	// DefaultMaxConns is the default of Config.MaxConns.
	DefaultMaxConns = 128
	// DefaultWarmConns is the default of Config.WarmConns.
	DefaultWarmConns = 8
	// DefaultMaxBody is the default of Config.MaxBody in bytes.
	DefaultMaxBody = 8 << 20
	// DefaultDialTimeout is the default of Config.DialTimeout.
	DefaultDialTimeout = 500 * time.Millisecond
	// DefaultOrderTimeout is the default of Config.OrderTimeout.
	DefaultOrderTimeout = time.Second
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
	if c.DialTimeout == 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	if c.OrderTimeout == 0 {
		c.OrderTimeout = DefaultOrderTimeout
	}
	return c
}

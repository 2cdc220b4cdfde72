package callerhttp

import (
	"time"

	"github.com/parsleystack/parsleystack/pipeline"
	"github.com/parsleystack/parsleystack/recvlimit"
)

// Config has the limits of a Server.
type Config struct {
	// MaxConns is the number of connections that are served. A further one gets 503, or takes
	// the place of the oldest one that has sent no request within FreshTime. 0 means no limit.
	MaxConns  int
	FreshTime time.Duration
	// MaxHeader bounds the head of a request in bytes.
	MaxHeader int
	// MaxBody returns the largest size of a body in bytes. What exceeds it is not read.
	MaxBody func() int
	// Window bounds the requests of one connection that are in progress.
	Window pipeline.Limits
	// Memory is the account for bodies, queued responses and connections; nil has no limit.
	Memory *recvlimit.Pool
	// ReadTimeout bounds the time to read one request, and to send the first one.
	ReadTimeout time.Duration
	// IdleTimeout bounds the time without a request on a connection.
	IdleTimeout time.Duration
	// WriteTimeout bounds the time in which a caller takes no bytes of a response. Half of it
	// passes at least.
	WriteTimeout time.Duration
}

package callerhttp

import (
	"time"

	"github.com/parsleystack/parsleystack/pipeline"
	"github.com/parsleystack/parsleystack/recvlimit"
)

// Config has the limits of a Server.
type Config struct {
	// MaxConns is the number of connections that are open at most. If there are nearly as many,
	// a new one takes the place of one without a request in progress; if there is none, it
	// gets 503. 0 means no limit.
	MaxConns int
	// RejectFields are header fields that are added to that 503, each with its line end.
	RejectFields string
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

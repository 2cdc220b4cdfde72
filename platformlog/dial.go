package platformlog

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/httphead"
)

// dialError wraps an error that occurred before the connection was
// established, so that no byte of the request was written.
type dialError struct{ cause error }

func (e *dialError) Error() string { return "connect: " + e.cause.Error() }

func (e *dialError) Unwrap() error { return e.cause }

func dialFunc(config ClientConfig) fasthttp.DialFuncWithTimeout {
	return func(addr string, timeout time.Duration) (net.Conn, error) {
		if timeout <= 0 || timeout > config.DialTimeout {
			timeout = config.DialTimeout
		}
		conn, err := config.Dial(addr, timeout)
		if err != nil {
			return nil, &dialError{cause: err}
		}
		return httphead.NewClientConn(conn), nil
	}
}

// notSent reports whether err proves that no byte of the request was written.
func notSent(err error) bool {
	var dial *dialError
	return errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) || errors.Is(err, httphead.ErrSurplus)
}

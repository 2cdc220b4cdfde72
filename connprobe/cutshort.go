package connprobe

import (
	"errors"
	"io"
	"net"

	"github.com/valyala/fasthttp"
)

// CutShort reports whether err, an error of fasthttp from reading a request on conn, means
// that the connection ended before the request was complete. A time-out does not.
func CutShort(err error, conn net.Conn) bool {
	var (
		network net.Error
		broken  fasthttp.ErrBrokenChunk // does not wrap its cause
	)
	switch {
	case errors.As(err, &network):
		return !network.Timeout()
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return true
	}
	return errors.As(err, &broken) && PeerClosed(conn)
}

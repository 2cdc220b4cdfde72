package callerhttp

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/recvlimit"
)

// Exchange is one request of a connection, and its response.
type Exchange struct {
	// Ctx has the request and the response. It is valid until Work.Release returns.
	Ctx fasthttp.RequestCtx
	// Before is the number of requests that were read on the connection before this one.
	Before uint64
	// Arrived is when the last bytes of the request arrived, if the kernel tells; else when
	// they were read. Unread is the time between the two.
	Arrived clock.Time
	Unread  time.Duration
	// Behind states that earlier requests of the connection were in progress at that time.
	Behind bool
	// BodyTooLarge states that the body exceeds Config.MaxBody and was not read. The
	// request must be refused; its connection is closed.
	BodyTooLarge bool
	// BodyCounted is set by the handler if it counts the memory of the response's body until
	// Work.Release.
	BodyCounted bool

	conn     *conn
	work     Work // nil if Prepare has set the response
	number   uint64
	last     bool // its response closes the connection
	served   bool // its work has been served or refused
	body     []byte
	fields   int // memory in bytes of the fields of a large head
	uri      fasthttp.URI
	received *recvlimit.Holding // of the request, while or after it was received; nil for small ones
	ahead    *recvlimit.Holding // of a request that was read behind others
	queued   *recvlimit.Holding // of the response that waits for its turn
	answered clock.Time         // when the response was ready
}

// maxKeptBody is the size up to which the buffer of a body is used again.
const maxKeptBody = 4 << 10

var exchanges = sync.Pool{New: func() any { return new(Exchange) }}

func newExchange(c *conn) *Exchange {
	x := exchanges.Get().(*Exchange)
	x.conn = c
	x.Ctx.Init2(c.nc, discardLogger{}, true)
	x.Ctx.Request.Header.DisableNormalizing()
	x.Ctx.Response.Header.DisableNormalizing()
	x.Ctx.Response.Header.SetNoDefaultContentType(true)
	return x
}

// release returns the memory of the exchange.
func (x *Exchange) release() {
	if x.work != nil {
		x.work.Release()
	}
	for _, h := range []*recvlimit.Holding{x.received, x.ahead, x.queued} {
		if h != nil {
			h.Release()
		}
	}
	x.Ctx.ResetUserValues()
	x.Ctx.Request.Reset()
	x.Ctx.Response.Reset()
	body := x.body
	if cap(body) > maxKeptBody {
		body = nil
	}
	x.Before, x.Arrived, x.Unread, x.Behind, x.BodyTooLarge, x.BodyCounted = 0, 0, 0, false, false, false
	x.conn, x.work, x.number, x.last, x.served, x.body = nil, nil, 0, false, false, body[:0]
	x.received, x.ahead, x.queued, x.answered = nil, nil, nil, 0
	if x.fields > 0 { // its context would keep the memory of the fields
		return
	}
	exchanges.Put(x)
}

// discardLogger drops the messages of fasthttp.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

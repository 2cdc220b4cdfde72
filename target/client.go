package target

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
)

const refillInterval = 200 * time.Millisecond

// maxInterim is the number of header blocks, interim ones included, that an
// answer may have.
const maxInterim = 8

// maxForeign bounds the answers to other requests that are read past.
const maxForeign = 4

// past is a deadline that ends reads and writes in progress.
var past = time.Unix(1, 0)

// Content lengths that stand for the other ways to mark the end of a body.
const (
	lengthChunked = -1
	lengthUnknown = -2
)

// Client talks to one target. All methods may be called by any goroutine.
type Client struct {
	cfg    Config
	pool   *pool
	orders *fasthttp.HostClient
}

// New returns a client without connections.
func New(cfg Config) *Client {
	cfg = cfg.withDefaults()
	return &Client{
		cfg:  cfg,
		pool: newPool(cfg.Addr, cfg.MaxConns, cfg.DialTimeout),
		orders: &fasthttp.HostClient{
			Addr:                      cfg.Addr,
			MaxConns:                  ControlConns,
			MaxConnWaitTimeout:        cfg.OrderTimeout,
			MaxIdemponentCallAttempts: 1,
			NoDefaultUserAgentHeader:  true,
		},
	}
}

// Do runs a call. sent is false only if no byte of the request went to the
// socket; the request was not run then. If sent is true and err is not nil,
// the request may have run.
func (c *Client) Do(call *Call) (sent bool, err error) {
	conn, err := c.pool.get(call.Deadline)
	if err != nil {
		return false, err
	}
	if !call.attach(conn) {
		c.pool.put(conn)
		return false, ErrCanceled
	}
	if call.BeforeWrite != nil {
		if err := call.BeforeWrite(); err != nil {
			call.detach()
			c.pool.put(conn)
			return false, err
		}
	}
	sent, err = c.roundTrip(conn, call)
	call.detach()
	c.finish(conn, call, err)
	if err != nil && call.isCanceled() {
		err = ErrCanceled
	}
	return sent, err
}

// finish keeps the connection if the target can read the next request on it.
func (c *Client) finish(conn *conn, call *Call, err error) {
	if err == nil && !call.Response.ConnectionClose() && !conn.writing && conn.reader.Buffered() == 0 {
		if len(call.Request.Body()) > socketBuffer {
			_ = conn.SetWriteDeadline(time.Time{})
		}
		conn.limitIdle(c.cfg.MaxIdle, call.Response)
		c.pool.put(conn)
		return
	}
	c.pool.discard(conn)
}

// roundTrip writes the request and reads the whole answer.
func (c *Client) roundTrip(conn *conn, call *Call) (sent bool, err error) {
	conn.wrote.Store(false)
	if len(call.Request.Body()) > socketBuffer {
		return c.overlapped(conn, call)
	}
	if err := conn.write(call.Request); err != nil {
		return conn.wrote.Load(), err
	}
	return true, c.readAnswer(conn, call)
}

// overlapped reads while it writes, since a target may answer a long request
// before it has read it. A connection whose request was not written to its end
// is not used again.
func (c *Client) overlapped(conn *conn, call *Call) (sent bool, err error) {
	written := make(chan error, 1)
	go func() { written <- conn.write(call.Request) }()
	if err := c.readAnswer(conn, call); err != nil {
		_ = conn.SetWriteDeadline(past)
		<-written
		return conn.wrote.Load(), err
	}
	select {
	case err := <-written:
		conn.writing = err != nil
	default:
		conn.writing = true
		_ = conn.SetWriteDeadline(past)
		<-written
	}
	return true, nil
}

// readAnswer reads answers up to the one that the call accepts.
func (c *Client) readAnswer(conn *conn, call *Call) error {
	for range maxForeign {
		if err := c.readOne(conn, call); err != nil {
			return err
		}
		if call.Accept == nil || call.Accept(call.Response) {
			return nil
		}
	}
	return ErrForeign
}

func (c *Client) readOne(conn *conn, call *Call) error {
	resp := call.Response
	resp.Reset()
	resp.Header.SetNoDefaultContentType(true)
	if err := readFinalHeader(conn, resp); err != nil {
		return err
	}
	if call.Request.Header.IsHead() || bodyless(resp.StatusCode()) {
		return nil
	}
	length := resp.Header.ContentLength()
	if length == lengthUnknown && !c.cfg.AllowCloseDelimited {
		return ErrUnframed
	}
	if err := resp.ReadBody(conn.reader, c.cfg.MaxBody); err != nil {
		return err
	}
	if length == lengthChunked {
		return resp.Header.ReadTrailer(conn.reader)
	}
	return nil
}

// readFinalHeader reads header blocks up to the first that is not interim.
func readFinalHeader(conn *conn, resp *fasthttp.Response) error {
	for range maxInterim {
		if err := resp.Header.Read(conn.reader); err != nil {
			return err
		}
		if resp.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
	return ErrInterim
}

func bodyless(status int) bool {
	return status < fasthttp.StatusOK || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// Run keeps WarmConns idle connections open until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(refillInterval)
	defer ticker.Stop()
	for {
		_ = c.pool.fill(c.cfg.WarmConns) // a target that is down is tried again at the next tick
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Warm opens idle connections until WarmConns are open.
func (c *Client) Warm() error { return c.pool.fill(c.cfg.WarmConns) }

// Conns returns the numbers of open and of idle connections for requests.
func (c *Client) Conns() (open, idle int) { return c.pool.size() }

// Close closes idle connections; those in use are closed when their call ends.
func (c *Client) Close() {
	c.pool.close()
	c.orders.CloseIdleConnections()
}

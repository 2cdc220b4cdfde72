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
			MaxConns:                  OrderConns,
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
	if call.Confirm != nil {
		if err := call.Confirm(); err != nil {
			call.detach()
			c.pool.put(conn)
			return false, err
		}
	}
	sent, err = roundTrip(conn, call, c.cfg.MaxBody)
	call.detach()
	c.finish(conn, call, err)
	if err != nil && call.isCanceled() {
		err = ErrCanceled
	}
	return sent, err
}

// finish keeps the connection if the target can read the next request on it.
func (c *Client) finish(conn *conn, call *Call, err error) {
	if err == nil && !call.Response.ConnectionClose() && conn.reader.Buffered() == 0 {
		if len(call.Request.Body()) > socketBuffer {
			_ = conn.SetWriteDeadline(time.Time{})
		}
		c.pool.put(conn)
		return
	}
	c.pool.discard(conn)
}

// roundTrip writes the request and reads the whole answer.
func roundTrip(conn *conn, call *Call, maxBody int) (sent bool, err error) {
	conn.wrote = false
	if err := call.Request.Write(conn.writer); err != nil {
		return conn.wrote, err
	}
	if err := conn.writer.Flush(); err != nil {
		return conn.wrote, err
	}
	return true, readAnswer(conn, call, maxBody)
}

func readAnswer(conn *conn, call *Call, maxBody int) error {
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
	if length == lengthUnknown {
		return ErrUnframed
	}
	if err := resp.ReadBody(conn.reader, maxBody); err != nil {
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

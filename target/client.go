package target

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/httphead"
)

// refillInterval is how often Run opens missing idle connections.
const refillInterval = 200 * time.Millisecond

// maxInterim is the maximum number of header blocks of a response, including those
// of interim (1xx) responses.
const maxInterim = 8

// maxUnmatched is the number of responses to other requests after which a call
// fails.
const maxUnmatched = 4

// expiredDeadline is a deadline in the past; setting it aborts reads and writes in
// progress.
var expiredDeadline = time.Unix(1, 0)

// Values of fasthttp's ContentLength for bodies without a Content-Length.
const (
	lengthChunked    = -1
	lengthUntilClose = -2
)

// Client sends requests to one target. It is safe for concurrent use.
type Client struct {
	cfg     Config
	pool    *pool
	control *fasthttp.HostClient
}

// New returns a client without open connections. The caller closes it with Close.
func New(cfg Config) *Client {
	cfg = cfg.withDefaults()
	return &Client{
		cfg:  cfg,
		pool: newPool(cfg),
		control: &fasthttp.HostClient{
			Addr:                      cfg.Addr,
			MaxConns:                  ControlConns,
			MaxConnWaitTimeout:        cfg.ControlTimeout,
			MaxIdemponentCallAttempts: 1,
			NoDefaultUserAgentHeader:  true,
			Dial:                      dialControl,
		},
	}
}

// Do runs a call. sent is false only if no byte of the request was written to the
// socket; the target did not run the request in that case. If sent is true and err
// is not nil, the request may have run.
func (c *Client) Do(call *Call) (sent bool, err error) {
	call.idHash = hashID(call.ID)
	call.held = c.cfg.Memory.Open(c.cfg.Source, nil)
	defer func() {
		if err != nil {
			call.Release()
		}
	}()
	if err := call.held.Reserve(call.ResponseBytes); err != nil {
		return false, err
	}
	conn, err := c.pool.get(call)
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
	if len(call.ID) > 0 {
		conn.sent[call.idHash] = struct{}{}
	}
	sent, err = c.roundTrip(conn, call)
	call.detach()
	c.releaseConn(conn, call, err)
	if err != nil && call.isCanceled() {
		err = ErrCanceled
	}
	if err == nil {
		call.held.Settle(cap(call.Response.Body()))
	}
	return sent, err
}

// releaseConn returns the connection to the pool if the next request can use it, and
// closes it otherwise.
func (c *Client) releaseConn(conn *conn, call *Call, err error) {
	if err == nil && !call.Response.ConnectionClose() && !conn.writeIncomplete && conn.reader.Buffered() == 0 && !conn.sent.full() {
		if len(call.Request.Body()) > maxBufferedBody {
			_ = conn.SetWriteDeadline(time.Time{})
		}
		conn.setIdleDeadline(c.cfg.MaxIdle, call.Response)
		c.pool.put(conn)
		return
	}
	if err == nil && conn.reader.Buffered() > 0 {
		c.pool.surplusFound()
	}
	c.pool.discard(conn)
}

// roundTrip writes the request and reads the whole response.
func (c *Client) roundTrip(conn *conn, call *Call) (sent bool, err error) {
	conn.wrote.Store(false)
	conn.upload.Begin()
	conn.upload.Add(len(call.Request.Body()))
	if len(call.Request.Body()) > maxBufferedBody {
		return c.roundTripConcurrent(conn, call)
	}
	if err := conn.write(call.Request); err != nil {
		return conn.wrote.Load(), err
	}
	if err := c.readAccepted(conn, call); err != nil || !conn.untilClose {
		return true, err
	}
	return true, c.awaitTaken(conn, nil)
}

// roundTripConcurrent reads the response while it writes the request, since a
// target may respond to a large request before it has read all of it. A connection
// on which the request was not completely written is not reused.
func (c *Client) roundTripConcurrent(conn *conn, call *Call) (sent bool, err error) {
	written := make(chan error, 1)
	go func() {
		written <- conn.write(call.Request)
		close(written)
	}()
	err = c.readAccepted(conn, call)
	if err == nil && conn.untilClose {
		err = c.awaitTaken(conn, written)
	}
	conn.writeIncomplete = endWrite(conn, written) != nil
	if err != nil {
		return conn.wrote.Load(), err
	}
	return true, nil
}

// endWrite breaks off the write of a request unless it has ended, and returns its error if nobody
// has received it before.
func endWrite(conn *conn, written <-chan error) error {
	select {
	case err := <-written:
		return err
	default:
	}
	_ = conn.SetWriteDeadline(expiredDeadline)
	return <-written
}

// awaitTaken waits, after a response that has ended with its connection, until the target has taken
// the request. written is as in connprobe.Upload.
func (c *Client) awaitTaken(conn *conn, written <-chan error) error {
	start := time.Now()
	err := conn.upload.AwaitTaken(written)
	if c.cfg.OnUploadWait != nil {
		c.cfg.OnUploadWait(time.Since(start))
	}
	if err != nil {
		return &httphead.CutOffError{Cause: err}
	}
	return nil
}

// readAccepted reads responses until one is accepted by the call.
func (c *Client) readAccepted(conn *conn, call *Call) error {
	for range maxUnmatched {
		if err := c.readResponse(conn, call); err != nil {
			return err
		}
		if call.Accept == nil || call.Accept(call.Response) {
			return nil
		}
	}
	return ErrUnmatched
}

// readResponse reads one response into call.Response.
func (c *Client) readResponse(conn *conn, call *Call) error {
	resp := call.Response
	resp.Reset()
	conn.untilClose = false
	call.held.Shrink(0) // what an answer that was skipped has taken
	resp.Header.SetNoDefaultContentType(true)
	if err := readFinalHeader(conn, resp); err != nil {
		return err
	}
	if call.Request.Header.IsHead() || hasNoBody(resp.StatusCode()) {
		return nil
	}
	length := resp.Header.ContentLength()
	conn.untilClose = length == lengthUntilClose
	if conn.untilClose && !c.cfg.AllowCloseDelimited {
		return ErrCloseDelimited
	}
	return c.readBody(conn, call, length)
}

// readFinalHeader reads header blocks until the first that is not of an interim
// (1xx) response.
func readFinalHeader(conn *conn, resp *fasthttp.Response) error {
	for range maxInterim {
		if _, err := httphead.ReadResponse(conn.reader, &resp.Header); err != nil {
			return err
		}
		if resp.StatusCode() >= fasthttp.StatusOK {
			return nil
		}
	}
	return ErrTooManyInterim
}

// hasNoBody reports whether responses with this status never have a body.
func hasNoBody(status int) bool {
	return status < fasthttp.StatusOK || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// Run keeps WarmConns idle connections open until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(refillInterval)
	defer ticker.Stop()
	for {
		_ = c.pool.fill(c.cfg.WarmConns) // if the target is down, retry at the next tick
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Warm opens connections until WarmConns are idle. It returns an error if one
// cannot be opened.
func (c *Client) Warm() error { return c.pool.fill(c.cfg.WarmConns) }

// Conns returns the number of open connections for requests, and how many of them
// are idle.
func (c *Client) Conns() (open, idle int) { return c.pool.size() }

// SetMaxConns changes the maximum number of connections for requests. Connections beyond it
// stay open until they are idle for too long or end.
func (c *Client) SetMaxConns(n int) { c.pool.setMaxConns(n) }

// Close closes idle connections. Connections in use are closed when their call
// ends.
func (c *Client) Close() {
	c.pool.close()
	c.control.CloseIdleConnections()
}

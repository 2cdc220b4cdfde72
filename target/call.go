package target

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// socketBuffer is the size in bytes up to which a body is written without
// waiting for the target to read it.
const socketBuffer = 8 << 10

// Call is one request to the target. It may be reused after Do has returned.
type Call struct {
	Request  *fasthttp.Request
	Response *fasthttp.Response
	Deadline time.Time
	// BeforeWrite is called at the last step before bytes go to the socket; an
	// error stops the call.
	BeforeWrite func() error
	// Accept reports whether an answer is that to the request; others are read
	// past. A nil Accept takes the first answer.
	Accept func(*fasthttp.Response) bool

	mu       sync.Mutex
	canceled bool
	conn     *conn
}

// Cancel ends the call: nothing is written if nothing was yet, and the
// connection is closed otherwise, so that the target learns of it.
func (c *Call) Cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.canceled = true
	if c.conn != nil {
		_ = c.conn.SetDeadline(past)
	}
}

// Reset clears the call for reuse.
func (c *Call) Reset() {
	c.mu.Lock()
	c.canceled, c.conn = false, nil
	c.mu.Unlock()
	c.Request, c.Response, c.BeforeWrite, c.Accept = nil, nil, nil, nil
	c.Deadline = time.Time{}
}

// attach sets the connection and its deadline. It reports false if the call
// was canceled.
func (c *Call) attach(conn *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.canceled {
		return false
	}
	c.conn = conn
	_ = conn.SetReadDeadline(c.Deadline)
	if len(c.Request.Body()) > socketBuffer {
		_ = conn.SetWriteDeadline(c.Deadline)
	}
	return true
}

func (c *Call) detach() {
	c.mu.Lock()
	c.conn = nil
	c.mu.Unlock()
}

func (c *Call) isCanceled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.canceled
}

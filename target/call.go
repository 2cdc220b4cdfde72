package target

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/recvlimit"
)

// maxBufferedBody is the largest request body, in bytes, that is assumed to fit the
// socket's send buffer, so that it can be written before the target reads it.
const maxBufferedBody = 8 << 10

// Call is one request to the target. After Do has returned and the response was used,
// it is released with Release, or reused with Reset. Only Cancel may be called while Do runs.
type Call struct {
	Request  *fasthttp.Request
	Response *fasthttp.Response
	Deadline time.Time
	// ID is what Accept matches responses by. Calls with the same ID use different
	// connections, as a late copy of the response to one would be taken for the response
	// to the other. If it is empty, any connection is used.
	ID []byte
	// BeforeWrite is called immediately before the request is written to the socket.
	// If it returns an error, nothing is written and Do returns the error.
	BeforeWrite func() error
	// Accept reports whether a response belongs to the request; Do skips others.
	// A nil Accept accepts the first response.
	Accept func(*fasthttp.Response) bool
	// ResponseBytes is the expected size of the response body. Memory for it is taken before
	// anything is written; if there is none, Do returns a *recvlimit.BudgetError.
	ResponseBytes int

	idHash uint64             // of ID
	held   *recvlimit.Holding // memory of the response body

	mu       sync.Mutex
	canceled bool
	conn     *conn
}

// Cancel ends the call. If nothing was written yet, nothing will be; otherwise the
// connection is closed, so that the target can detect the cancellation.
func (c *Call) Cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.canceled = true
	if c.conn != nil {
		_ = c.conn.SetDeadline(expiredDeadline)
	}
}

// Release returns the memory of the response body to the client's pool; the body must not
// be used afterwards.
func (c *Call) Release() { c.held.Release() }

// Reset releases the call and clears it for reuse.
func (c *Call) Reset() {
	c.Release()
	c.mu.Lock()
	c.canceled, c.conn = false, nil
	c.mu.Unlock()
	c.Request, c.Response, c.ID, c.BeforeWrite, c.Accept = nil, nil, nil, nil, nil
	c.Deadline, c.ResponseBytes = time.Time{}, 0
}

// mayUse reports whether the call's ID was not sent on the connection yet.
func (c *Call) mayUse(conn *conn) bool { return len(c.ID) == 0 || !conn.sent.contains(c.idHash) }

// attach sets the call's connection and the connection's deadlines. It returns
// false if the call was canceled.
func (c *Call) attach(conn *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.canceled {
		return false
	}
	c.conn = conn
	_ = conn.SetReadDeadline(c.Deadline)
	if len(c.Request.Body()) > maxBufferedBody {
		_ = conn.SetWriteDeadline(c.Deadline)
	}
	return true
}

// detach unsets the connection, so that a later Cancel does not affect it.
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

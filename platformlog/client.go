package platformlog

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
)

// maxResponseBytes limits the size of a response body.
const maxResponseBytes = 16 << 20

// Client implements Log over the HTTP protocol of docs/LOG-PROTOCOL.md. It
// never retries a request. It is safe for concurrent use.
type Client struct {
	config ClientConfig
	host   *fasthttp.HostClient
}

var _ Log = (*Client)(nil)

// NewClient returns a client of the log service at config.Addr. The client
// connects on the first call.
func NewClient(config ClientConfig) *Client {
	config = config.withDefaults()
	return &Client{
		config: config,
		host: &fasthttp.HostClient{
			Addr:                          config.Addr,
			DialTimeout:                   dialFunc(config),
			MaxConns:                      config.MaxConns,
			MaxIdleConnDuration:           idleConnDuration,
			MaxIdemponentCallAttempts:     1,
			RetryIfErr:                    neverRetry,
			MaxResponseBodySize:           maxResponseBytes,
			NoDefaultUserAgentHeader:      true,
			DisablePathNormalizing:        true,
			DisableHeaderNamesNormalizing: true,
		},
	}
}

// Close closes idle connections. It does not interrupt calls in progress.
func (c *Client) Close() {
	c.host.CloseIdleConnections()
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

// call sends req and waits for the response until the timeout expires or ctx
// is done. After a cancellation of ctx the exchange continues in the
// background until the timeout.
func (c *Client) call(ctx context.Context, req *fasthttp.Request, timeout time.Duration) (*fasthttp.Response, error) {
	deadline := time.Now().Add(timeout)
	if end, ok := ctx.Deadline(); ok && end.Before(deadline) {
		deadline = end
	}
	resp := &fasthttp.Response{}
	done := make(chan error, 1)
	go func() { done <- c.host.DoDeadline(req, resp, deadline) }()
	select {
	case err := <-done:
		return resp, err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

package platformlog

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
)

// maxAnswerBytes bounds the body of one answer.
const maxAnswerBytes = 16 << 20

// Client is the HTTP adapter of Log; docs/LOG-PROTOCOL.md states the protocol.
// It never sends a request twice by itself.
type Client struct {
	config ClientConfig
	host   *fasthttp.HostClient
}

var _ Log = (*Client)(nil)

// NewClient returns a client of the log service at config.Addr. It connects on
// the first call.
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
			MaxResponseBodySize:           maxAnswerBytes,
			NoDefaultUserAgentHeader:      true,
			DisablePathNormalizing:        true,
			DisableHeaderNamesNormalizing: true,
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.host.CloseIdleConnections()
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

// call sends req and waits for the answer, the limit or the end of ctx. An
// exchange that ctx ends goes on in the background until the limit.
func (c *Client) call(ctx context.Context, req *fasthttp.Request, limit time.Duration) (*fasthttp.Response, error) {
	deadline := time.Now().Add(limit)
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

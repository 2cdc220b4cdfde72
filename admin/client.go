package admin

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/ident"
)

// DefaultTimeout is the timeout of a call whose context has no deadline.
const DefaultTimeout = 5 * time.Second

// Client calls one daemon. It is safe for concurrent use.
type Client struct {
	addr   string
	scheme string
	http   *fasthttp.Client
}

// NewClient returns a Client of the daemon whose listen.admin is addr. Without
// a TLS configuration it uses plain HTTP.
func NewClient(addr string, tlsConfig *tls.Config) *Client {
	c := &Client{
		addr:   addr,
		scheme: "http",
		http:   &fasthttp.Client{TLSConfig: tlsConfig, MaxIdemponentCallAttempts: 1},
	}
	if tlsConfig != nil {
		c.scheme = "https"
	}
	return c
}

// Status returns the daemon's status.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	out := new(Status)
	return out, c.call(ctx, fasthttp.MethodGet, PathStatus, nil, out)
}

// Explain returns the owner of a key and the reason.
func (c *Client) Explain(ctx context.Context, svc ident.Service, key string) (*Explanation, error) {
	query := url.Values{"service": {string(svc)}, "key": {key}}
	out := new(Explanation)
	return out, c.call(ctx, fasthttp.MethodGet, PathExplain+"?"+query.Encode(), nil, out)
}

// Drain starts the planned stop of the daemon.
func (c *Client) Drain(ctx context.Context, req *DrainRequest) (*DrainResponse, error) {
	out := new(DrainResponse)
	return out, c.call(ctx, fasthttp.MethodPost, PathDrain, req, out)
}

// Release ends the quarantine of requests.
func (c *Client) Release(ctx context.Context, req *ReleaseRequest) (*ReleaseResponse, error) {
	out := new(ReleaseResponse)
	return out, c.call(ctx, fasthttp.MethodPost, PathRelease, req, out)
}

// ConfirmLoss confirms that a process has failed for good.
func (c *Client) ConfirmLoss(ctx context.Context, req *ConfirmLossRequest) (*ConfirmLossResponse, error) {
	out := new(ConfirmLossResponse)
	return out, c.call(ctx, fasthttp.MethodPost, PathConfirmLoss, req, out)
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI(c.scheme + "://" + c.addr + path)
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("admin: the request can't be encoded: %w", err)
		}
		req.Header.SetContentType("application/json")
		req.SetBody(body)
	}
	if err := c.http.DoDeadline(req, resp, callDeadline(ctx)); err != nil {
		return &UnreachableError{Addr: c.addr, Cause: err}
	}
	return decodeResponse(c.addr, resp, out)
}

func callDeadline(ctx context.Context) time.Time {
	if d, ok := ctx.Deadline(); ok {
		return d
	}
	return time.Now().Add(DefaultTimeout)
}

func decodeResponse(addr string, resp *fasthttp.Response, out any) error {
	if resp.StatusCode() != fasthttp.StatusOK {
		return decodeRefusal(addr, resp)
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return fmt.Errorf("admin: the response of %s can't be decoded: %w; use the parsley command of the daemon's version", addr, err)
	}
	return nil
}

func decodeRefusal(addr string, resp *fasthttp.Response) error {
	e := &Error{Status: resp.StatusCode()}
	if json.Unmarshal(resp.Body(), e) != nil || e.Problem == "" {
		e.Problem = fmt.Sprintf("%s answered with status %d", addr, resp.StatusCode())
		e.Remedy = "check that the address is the daemon's listen.admin"
	}
	return e
}

package target

import (
	"encoding/json"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/httphead"
	"github.com/parsleystack/parsleystack/ident"
)

// Paths of control requests.
const (
	pathGrant  = "/parsley/v1/grant"
	pathRevoke = "/parsley/v1/revoke"
	pathDrain  = "/parsley/v1/drain"
	pathHealth = "/parsley/v1/health"
	pathLoad   = "/parsley/v1/load"
)

// Health is the state that the target reports. It may be stale or wrong.
type Health struct {
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
}

// Load is the load that the target reports. It may be stale or wrong.
type Load struct {
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
}

// grantRequest is the body of grant and revoke requests.
type grantRequest struct {
	Service ident.Service `json:"service"`
	First   string        `json:"first"` // 16 hexadecimal digits
	Last    string        `json:"last"`  // 16 hexadecimal digits
	Term    uint64        `json:"term"`
	Seq     uint64        `json:"seq"`
	TTLMS   int64         `json:"ttl_ms,omitempty"`
}

// Grant notifies the target that it owns a range for ttl.
func (c *Client) Grant(svc ident.Service, g cell.Grant, ttl time.Duration) error {
	return c.put(pathGrant, newGrantRequest(svc, g, ttl))
}

// Revoke notifies the target that it no longer owns a range.
func (c *Client) Revoke(svc ident.Service, g cell.Grant) error {
	return c.put(pathRevoke, newGrantRequest(svc, g, 0))
}

// Drain asks the target to finish its running requests and accept no new ones.
func (c *Client) Drain() error { return c.put(pathDrain, nil) }

// Health requests the target's state.
func (c *Client) Health() (Health, error) {
	var h Health
	err := c.get(pathHealth, &h)
	return h, err
}

// Load requests the target's load.
func (c *Client) Load() (Load, error) {
	var l Load
	err := c.get(pathLoad, &l)
	return l, err
}

func newGrantRequest(svc ident.Service, g cell.Grant, ttl time.Duration) *grantRequest {
	return &grantRequest{
		Service: svc,
		First:   formatPoint(g.Range.First),
		Last:    formatPoint(g.Range.Last),
		Term:    g.Token.Term,
		Seq:     g.Token.Seq,
		TTLMS:   ttl.Milliseconds(),
	}
}

func (c *Client) put(path string, body *grantRequest) error {
	var payload []byte
	if body != nil {
		var err error
		if payload, err = json.Marshal(body); err != nil {
			return err
		}
	}
	return c.sendControl(fasthttp.MethodPut, path, payload, func(*fasthttp.Response) error { return nil })
}

func (c *Client) get(path string, into any) error {
	return c.sendControl(fasthttp.MethodGet, path, nil, func(resp *fasthttp.Response) error {
		return json.Unmarshal(resp.Body(), into)
	})
}

// dialControl opens a connection for control requests.
func dialControl(addr string) (net.Conn, error) {
	c, err := fasthttp.Dial(addr)
	if err != nil {
		return nil, err
	}
	return httphead.NewClientConn(c), nil
}

// sendControl sends a control request and passes a response with a 2xx status to
// read. It returns a *ControlError for any other status.
func (c *Client) sendControl(method, path string, payload []byte, read func(*fasthttp.Response) error) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.cfg.Addr + path)
	if payload != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(payload)
	}
	if err := c.control.DoTimeout(req, resp, c.cfg.ControlTimeout); err != nil {
		return err
	}
	if resp.StatusCode()/100 != 2 {
		return &ControlError{Path: path, Status: resp.StatusCode()}
	}
	return read(resp)
}

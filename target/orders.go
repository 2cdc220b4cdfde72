package target

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/ident"
)

const (
	pathGrant  = "/parsley/v1/grant"
	pathRevoke = "/parsley/v1/revoke"
	pathDrain  = "/parsley/v1/drain"
	pathHealth = "/parsley/v1/health"
	pathLoad   = "/parsley/v1/load"
)

// Health is the target's own word on its state. It may lag or mislead.
type Health struct {
	Ready    bool `json:"ready"`
	Draining bool `json:"draining"`
}

// Load is the target's own word on its load. It may lag or mislead.
type Load struct {
	InFlight int `json:"in_flight"`
	Slots    int `json:"slots"`
}

// grantOrder is the body of grant and revoke orders.
type grantOrder struct {
	Service ident.Service `json:"service"`
	First   string        `json:"first"` // 16 hexadecimal digits
	Last    string        `json:"last"`  // 16 hexadecimal digits
	Term    uint64        `json:"term"`
	Seq     uint64        `json:"seq"`
	TTLMS   int64         `json:"ttl_ms,omitempty"`
}

// Grant tells the target that it owns a range for ttl.
func (c *Client) Grant(svc ident.Service, g cell.Grant, ttl time.Duration) error {
	return c.put(pathGrant, newGrantOrder(svc, g, ttl))
}

// Revoke tells the target that it owns a range no more.
func (c *Client) Revoke(svc ident.Service, g cell.Grant) error {
	return c.put(pathRevoke, newGrantOrder(svc, g, 0))
}

// Drain tells the target to finish its work and take no more.
func (c *Client) Drain() error { return c.put(pathDrain, nil) }

// Health asks the target for its state.
func (c *Client) Health() (Health, error) {
	var h Health
	err := c.get(pathHealth, &h)
	return h, err
}

// Load asks the target for its load.
func (c *Client) Load() (Load, error) {
	var l Load
	err := c.get(pathLoad, &l)
	return l, err
}

func newGrantOrder(svc ident.Service, g cell.Grant, ttl time.Duration) *grantOrder {
	return &grantOrder{
		Service: svc,
		First:   hexPoint(g.Range.First),
		Last:    hexPoint(g.Range.Last),
		Term:    g.Token.Term,
		Seq:     g.Token.Seq,
		TTLMS:   ttl.Milliseconds(),
	}
}

func (c *Client) put(path string, body *grantOrder) error {
	var payload []byte
	if body != nil {
		var err error
		if payload, err = json.Marshal(body); err != nil {
			return err
		}
	}
	return c.order(fasthttp.MethodPut, path, payload, func(*fasthttp.Response) error { return nil })
}

func (c *Client) get(path string, into any) error {
	return c.order(fasthttp.MethodGet, path, nil, func(resp *fasthttp.Response) error {
		return json.Unmarshal(resp.Body(), into)
	})
}

func (c *Client) order(method, path string, payload []byte, read func(*fasthttp.Response) error) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.cfg.Addr + path)
	if payload != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(payload)
	}
	if err := c.orders.DoTimeout(req, resp, c.cfg.OrderTimeout); err != nil {
		return err
	}
	if resp.StatusCode()/100 != 2 {
		return &OrderError{Path: path, Status: resp.StatusCode()}
	}
	return read(resp)
}

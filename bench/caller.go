package bench

import (
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/outcome"
)

const (
	headerOutcome        = "Parsley-Outcome"
	headerReason         = "Parsley-Reason"
	headerRefused        = "Parsley-Refused"
	headerTimeout        = "Parsley-Timeout-Ms"
	headerCallerID       = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"

	// responseGrace is the time past a request's timeout for which the client
	// still waits for the response.
	responseGrace = 500 * time.Millisecond

	dialTimeout = time.Second
)

// caller sends requests to one address.
type caller struct {
	direct bool // the address is that of a target, not of a daemon
	addr   string
	host   *fasthttp.HostClient
}

// connectError reports that no connection was established.
type connectError struct{ cause error }

func (e *connectError) Error() string { return "connect: " + e.cause.Error() }

func (e *connectError) Unwrap() error { return e.cause }

func newCaller(addr string, direct bool, maxConns int) *caller {
	return &caller{
		direct: direct,
		addr:   addr,
		host: &fasthttp.HostClient{
			Addr:                      addr,
			MaxConns:                  maxConns,
			MaxConnWaitTimeout:        time.Minute,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                neverRetry,
			NoDefaultUserAgentHeader:  true,
			DialTimeout:               dial,
		},
	}
}

func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

func dial(addr string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > dialTimeout {
		timeout = dialTimeout
	}
	c, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, &connectError{cause: err}
	}
	return c, nil
}

// callResult is the result of one call.
type callResult struct {
	class         Class
	response      responseStatus
	hasRetryAfter bool
}

// call sends one request and waits for the response or the timeout.
func (c *caller) call(op *Op, key, id string) callResult {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(op.Method)
	req.SetRequestURI("http://" + c.addr + op.PathFor(key))
	req.Header.Set(headerCallerID, id)
	req.Header.Set(headerTimeout, strconv.FormatInt(op.Timeout.Milliseconds(), 10))
	if !op.Idempotent {
		req.Header.Set(headerIdempotencyKey, id)
	}
	if err := c.host.DoTimeout(req, resp, op.Timeout+responseGrace); err != nil {
		return callResult{class: classOfError(err)}
	}
	r := callResult{class: c.classOf(resp), hasRetryAfter: len(resp.Header.Peek(fasthttp.HeaderRetryAfter)) > 0}
	if r.class.Kind == outcome.Done && resp.StatusCode() < 300 {
		r.response = checkResponse(resp.Body(), id, op.TargetPathFor(key), key)
	}
	return r
}

func classOfError(err error) Class {
	var connect *connectError
	var timeout net.Error
	switch {
	case errors.As(err, &connect), errors.Is(err, fasthttp.ErrNoFreeConns):
		return Class{Kind: outcome.NotRun, Reason: reasonConnect}
	case errors.Is(err, fasthttp.ErrTimeout), errors.As(err, &timeout) && timeout.Timeout():
		return Class{Kind: outcome.Unknown, Reason: reasonTimeout}
	default:
		return Class{Kind: outcome.Unknown, Reason: reasonLost}
	}
}

func (c *caller) classOf(resp *fasthttp.Response) Class {
	if c.direct {
		return classOfTarget(resp)
	}
	reason := string(resp.Header.Peek(headerReason))
	switch string(resp.Header.Peek(headerOutcome)) {
	case outcome.Done.String():
		return classOfDone(resp.StatusCode())
	case outcome.NotRun.String():
		return Class{Kind: outcome.NotRun, Reason: reason}
	case outcome.Unknown.String():
		return Class{Kind: outcome.Unknown, Reason: reason}
	default:
		return Class{Kind: outcome.Unknown, Reason: reasonNoHeader}
	}
}

func classOfTarget(resp *fasthttp.Response) Class {
	if refused := resp.Header.Peek(headerRefused); len(refused) > 0 {
		return Class{Kind: outcome.NotRun, Reason: string(refused)}
	}
	return classOfDone(resp.StatusCode())
}

// classOfDone gives responses with a status of 300 and above a reason of their
// own, so that failures of the target are counted apart.
func classOfDone(status int) Class {
	if status < 300 {
		return Class{Kind: outcome.Done}
	}
	return Class{Kind: outcome.Done, Reason: reasonStatus + "-" + strconv.Itoa(status)}
}

// responseBody holds the fields of a target stand-in's response that identify its
// request.
type responseBody struct {
	ID   string `json:"id"`
	Path string `json:"path"`
	Key  string `json:"key"`
}

// checkResponse checks that body is a complete response and belongs to the request.
func checkResponse(body []byte, id, path, key string) responseStatus {
	var got responseBody
	if err := json.Unmarshal(body, &got); err != nil {
		return responseMalformed
	}
	if got.ID != id || got.Path != path || got.Key != key {
		return responseUnmatched
	}
	return responseOK
}

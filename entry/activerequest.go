package entry

import (
	"bytes"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
	"unsafe"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/dispatch"
	"github.com/parsleystack/parsleystack/httpfield"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/route"
	"github.com/parsleystack/parsleystack/service"
	"github.com/parsleystack/parsleystack/wire"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	headerTimeout        = "Parsley-Timeout-Ms"
	headerAttempt        = "Parsley-Attempt"
	maxIdempotencyKey    = 255 // bytes
	maxCallerFields      = 128 // header fields of a request
)

// rootPath stands for an empty path below the service's prefix.
var rootPath = []byte{'/'}

// activeRequest is the state of one caller's request while the gateway serves
// it. Values are pooled.
type activeRequest struct {
	gateway         *Gateway
	http            *fasthttp.RequestCtx
	ctx             *requestContext             // replaced under the watcher's lock
	awaitedOwner    atomic.Pointer[route.Entry] // owner that an idempotent request was sent to, until it answers
	awaitedSince    atomic.Int64                // clock.Time at which awaitedOwner was set
	service         *route.Service              // as of the last attempt
	deadline        clock.Time
	state           dispatch.Request
	req             wire.Request
	resp            wire.Response
	lastDestination route.Destination // of the last attempt
	key             keyInput
	scratch         []byte
	id              []byte
}

var requestPool = sync.Pool{New: func() any { return new(activeRequest) }}

func newActiveRequest(g *Gateway, ctx *fasthttp.RequestCtx) *activeRequest {
	r := requestPool.Get().(*activeRequest)
	r.gateway, r.http = g, ctx
	if r.ctx == nil || r.ctx.Err() != nil {
		r.ctx = newRequestContext()
	}
	return r
}

func (r *activeRequest) release() {
	r.resp.Release()
	r.resp.Reset()
	r.req.Reset()
	r.gateway, r.http, r.service = nil, nil, nil
	r.state = dispatch.Request{}
	r.lastDestination = route.Destination{}
	r.key = keyInput{}
	requestPool.Put(r)
}

// parse checks the HTTP request and fills the wire request from it.
func (r *activeRequest) parse(table *route.Table) *problem {
	if p := checkFraming(&r.http.Request); p != nil {
		return p
	}
	uri := r.http.Request.Header.RequestURI()
	name, path, query, ok := splitURI(uri)
	if !ok {
		return problemPath
	}
	svc, ok := table.Service(name)
	if !ok {
		if outdated := r.gateway.cfg.Outdated; table.Len() == 0 || outdated != nil && outdated() {
			return problemNotReady
		}
		return problemUnknownService
	}
	r.service = svc
	r.key = keyInput{header: &r.http.Request.Header, path: path, query: query}
	r.fillRequestLine(uri[1+len(name):], path)
	r.fillMethodRule(path)
	r.fillHeaders()
	return r.fillKey()
}

// fillRequestLine sets the method, the URI that the target receives (the path
// below the service's prefix and the query), the body and the request ID.
func (r *activeRequest) fillRequestLine(uri, path []byte) {
	r.req.URI = uri
	if len(path) == 0 {
		r.req.URI = append([]byte{'/'}, uri...)
	}
	r.req.Method = r.http.Method()
	r.req.Body = r.http.Request.Body()
	r.id = r.gateway.ids.append(r.id[:0])
	r.req.RequestID = r.id
}

// fillMethodRule applies the first matching method rule of the service and sets
// the deadline. A request without a rule must not be repeated.
func (r *activeRequest) fillMethodRule(path []byte) {
	timeout := r.gateway.cfg.DefaultTimeout
	if len(path) == 0 {
		path = rootPath
	}
	if rule := r.methodRule(path); rule != nil {
		r.req.Idempotent, r.req.Priority = rule.Idempotent, rule.Priority
		if rule.Timeout > 0 {
			timeout = rule.Timeout
		}
	}
	timeout = min(timeout, r.callerTimeout(timeout))
	r.deadline = r.gateway.cfg.Now().Add(timeout)
	r.req.Service = r.service.Spec.Name
}

func (r *activeRequest) methodRule(path []byte) *service.Method {
	return r.service.Spec.MethodFor(unsafeString(r.req.Method), unsafeString(path))
}

// unsafeString returns b as a string without copying. The string is valid until
// b is modified.
func unsafeString(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }

// callerTimeout returns the timeout in the caller's header, or fallback if the
// header is absent or invalid.
func (r *activeRequest) callerTimeout(fallback time.Duration) time.Duration {
	value := r.http.Request.Header.Peek(headerTimeout)
	if len(value) == 0 {
		return fallback
	}
	ms, err := strconv.ParseInt(unsafeString(value), 10, 32)
	if err != nil || ms <= 0 {
		return fallback
	}
	return time.Duration(ms) * time.Millisecond
}

// fillHeaders adds the header fields that are forwarded.
func (r *activeRequest) fillHeaders() {
	h := &r.http.Request.Header
	connectionFields := h.Peek(fasthttp.HeaderConnection)
	r.req.Headers = r.req.Headers[:0]
	for name, value := range h.All() {
		if !isForwarded(name) || httpfield.ListedInConnection(connectionFields, name) {
			continue
		}
		r.req.Headers = append(r.req.Headers, wire.Header{Name: name, Value: value})
	}
	r.req.Repeat = isRepeat(h.Peek(headerAttempt))
}

func isForwarded(name []byte) bool {
	switch {
	case httpfield.HopByHop(name), httpfield.Internal(name), httpfield.ContentLength(name):
		return false
	case bytes.EqualFold(name, []byte(fasthttp.HeaderExpect)):
		return false
	}
	return true
}

// isRepeat reports whether the attempt number that the caller sent is 2 or
// greater.
func isRepeat(attempt []byte) bool {
	if len(attempt) == 0 {
		return false
	}
	n, err := strconv.ParseUint(unsafeString(attempt), 10, 32)
	return err == nil && n > 1
}

// fillKey sets the idempotency key and the request's point. A request to an
// undivided service has a point only if it has an idempotency key, so that its
// repeats reach the same daemon.
func (r *activeRequest) fillKey() *problem {
	if len(r.req.Headers) > maxCallerFields {
		return problemHeaderTooLarge
	}
	key, ok := r.key.Header(headerIdempotencyKey)
	if !ok || len(key) > maxIdempotencyKey {
		return problemIdempotencyKey
	}
	r.req.IdempotencyKey = key
	spec := r.service.Spec
	if !spec.Divided() {
		r.setPoint(key)
		return nil
	}
	var err error
	if r.scratch, err = route.Key(r.scratch[:0], &spec.Key, &r.key); err != nil {
		return problemKey(err)
	}
	r.setPoint(r.scratch)
	return nil
}

func (r *activeRequest) setPoint(key []byte) {
	r.req.Keyed = len(key) > 0
	r.req.Point = 0
	if r.req.Keyed {
		r.req.Point = keyspace.Hash(r.service.Spec.Name, key)
	}
}

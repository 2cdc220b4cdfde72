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
)

// rootPath is the path below the service's prefix if there is none.
var rootPath = []byte{'/'}

// flight is one caller's request on its way through the gateway.
type flight struct {
	gateway  *Gateway
	http     *fasthttp.RequestCtx
	ctx      *flightContext              // replaced under the watcher's lock
	asked    atomic.Pointer[route.Entry] // owner that an idempotent attempt waits for
	askedAt  atomic.Int64                // clock.Time at which asked was set
	service  *route.Service              // as of the last attempt
	deadline clock.Time
	state    dispatch.Request
	req      wire.Request
	resp     wire.Response
	last     route.Destination // of the last attempt
	key      keyInput
	scratch  []byte
	id       []byte
}

var flights = sync.Pool{New: func() any { return new(flight) }}

func newFlight(g *Gateway, ctx *fasthttp.RequestCtx) *flight {
	f := flights.Get().(*flight)
	f.gateway, f.http = g, ctx
	if f.ctx == nil || f.ctx.Err() != nil {
		f.ctx = newFlightContext()
	}
	return f
}

func (f *flight) free() {
	f.resp.Release()
	f.resp.Reset()
	f.req.Reset()
	f.gateway, f.http, f.service = nil, nil, nil
	f.state = dispatch.Request{}
	f.last = route.Destination{}
	f.key = keyInput{}
	flights.Put(f)
}

// read fills the wire request from the HTTP request.
func (f *flight) read(table *route.Table) *problem {
	if p := checkFraming(&f.http.Request); p != nil {
		return p
	}
	uri := f.http.Request.Header.RequestURI()
	name, path, query, ok := splitURI(uri)
	if !ok {
		return problemPath
	}
	svc, ok := table.Service(name)
	if !ok {
		if table.Len() == 0 {
			return problemNotReady
		}
		return problemService
	}
	f.service = svc
	f.key = keyInput{header: &f.http.Request.Header, path: path, query: query}
	f.fillLine(uri[1+len(name):], path)
	f.fillRule(path)
	f.fillHeaders()
	return f.fillKey()
}

// fillLine sets what the target sees of the request line: the path below the
// service's prefix, and the query.
func (f *flight) fillLine(uri, path []byte) {
	f.req.URI = uri
	if len(path) == 0 {
		f.req.URI = append([]byte{'/'}, uri...)
	}
	f.req.Method = f.http.Method()
	f.req.Body = f.http.Request.Body()
	f.id = f.gateway.ids.append(f.id[:0])
	f.req.RequestID = f.id
}

// fillRule applies the first matching rule of the service. A request without
// a rule may not be repeated.
func (f *flight) fillRule(path []byte) {
	timeout := f.gateway.cfg.DefaultTimeout
	if len(path) == 0 {
		path = rootPath
	}
	if rule := f.rule(path); rule != nil {
		f.req.Idempotent, f.req.Priority = rule.Idempotent, rule.Priority
		if rule.Timeout > 0 {
			timeout = rule.Timeout
		}
	}
	timeout = min(timeout, f.callerTimeout(timeout))
	f.deadline = f.gateway.cfg.Now().Add(timeout)
	f.req.Service = f.service.Spec.Name
}

func (f *flight) rule(path []byte) *service.Method {
	return f.service.Spec.MethodFor(view(f.req.Method), view(path))
}

// view returns b as a string that is valid as long as b.
func view(b []byte) string { return unsafe.String(unsafe.SliceData(b), len(b)) }

// callerTimeout returns the time that the caller itself allows, or none.
func (f *flight) callerTimeout(none time.Duration) time.Duration {
	value := f.http.Request.Header.Peek(headerTimeout)
	if len(value) == 0 {
		return none
	}
	ms, err := strconv.ParseInt(view(value), 10, 32)
	if err != nil || ms <= 0 {
		return none
	}
	return time.Duration(ms) * time.Millisecond
}

// fillHeaders copies the fields that are forwarded.
func (f *flight) fillHeaders() {
	h := &f.http.Request.Header
	named := h.Peek(fasthttp.HeaderConnection)
	f.req.Headers = f.req.Headers[:0]
	for name, value := range h.All() {
		if !forwarded(name) || httpfield.ListedInConnection(named, name) {
			continue
		}
		f.req.Headers = append(f.req.Headers, wire.Header{Name: name, Value: value})
	}
	f.req.Repeat = repeats(h.Peek(headerAttempt))
}

func forwarded(name []byte) bool {
	switch {
	case httpfield.HopByHop(name), httpfield.Internal(name), httpfield.ContentLength(name):
		return false
	case bytes.EqualFold(name, []byte(fasthttp.HeaderExpect)):
		return false
	}
	return true
}

// repeats reports whether the caller counts this as its second attempt or a
// later one.
func repeats(attempt []byte) bool {
	if len(attempt) == 0 {
		return false
	}
	n, err := strconv.ParseUint(view(attempt), 10, 32)
	return err == nil && n > 1
}

// fillKey finds the request's point. A request of an undivided service has one
// only if it has an idempotency key, so that its repeats meet one daemon.
func (f *flight) fillKey() *problem {
	if len(f.req.Headers) > wire.MaxHeaders {
		return problemHeaderTooLarge
	}
	key, ok := f.key.Header(headerIdempotencyKey)
	if !ok || len(key) > maxIdempotencyKey {
		return problemRepeatKey
	}
	f.req.IdempotencyKey = key
	spec := f.service.Spec
	if !spec.Divided() {
		f.setPoint(key)
		return nil
	}
	var err error
	if f.scratch, err = route.Key(f.scratch[:0], &spec.Key, &f.key); err != nil {
		return problemKey(err)
	}
	f.setPoint(f.scratch)
	return nil
}

func (f *flight) setPoint(key []byte) {
	f.req.Keyed = len(key) > 0
	f.req.Point = 0
	if f.req.Keyed {
		f.req.Point = keyspace.Hash(f.service.Spec.Name, key)
	}
}

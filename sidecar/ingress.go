package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/connprobe"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/resend"
)

const (
	// watchInterval is the time between looks for callers that have left; their
	// targets are to know within half a second.
	watchInterval = 100 * time.Millisecond
	// maxCallerHeader and maxCallerBody are above what any configuration seen
	// allows; its own limits are checked besides.
	maxCallerHeader = 32 << 10
	maxCallerBody   = 64 << 20
	// callerIdle is longer than any caller keeps a connection without a request.
	callerIdle = 120 * time.Second
	// callerRead bounds the reading of one request.
	callerRead = 60 * time.Second
)

var (
	errCallerLeft = errors.New("the caller has left")
	errTimeout    = errors.New("the request's time is over")
)

// ingress takes requests of callers and of the own target.
type ingress struct {
	d      *Daemon
	server *fasthttp.Server

	mu      sync.Mutex
	flights map[*flight]struct{}
	budgets map[ident.Service]*resend.Budget
	closing atomic.Bool // connections end with their next answer
	// refusing is set when no new request is taken, and none waits any more.
	refusing atomic.Bool
}

func newIngress(d *Daemon) *ingress {
	in := &ingress{d: d, flights: make(map[*flight]struct{}), budgets: make(map[ident.Service]*resend.Budget)}
	in.server = &fasthttp.Server{
		Handler:                       in.handle,
		ErrorHandler:                  in.unreadable,
		Name:                          "parsley",
		ReadBufferSize:                maxCallerHeader,
		MaxRequestBodySize:            maxCallerBody,
		ReadTimeout:                   callerRead,
		IdleTimeout:                   callerIdle,
		DisablePreParseMultipartForm:  true,
		DisableHeaderNamesNormalizing: true,
		NoDefaultContentType:          true,
		NoDefaultServerHeader:         true,
		CloseOnShutdown:               true,
		Logger:                        quiet{},
	}
	return in
}

// quiet drops what fasthttp would print; each request has a line of its own.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

func (in *ingress) serve(l net.Listener) error { return in.server.Serve(l) }

func (in *ingress) handle(ctx *fasthttp.RequestCtx) {
	if in.closing.Load() {
		ctx.SetConnectionClose()
	}
	f := newFlight(in, ctx)
	if !f.read() {
		return
	}
	in.track(f, true)
	f.serve()
	in.track(f, false)
}

func (in *ingress) unreadable(ctx *fasthttp.RequestCtx, err error) {
	ctx.SetConnectionClose()
	status := fasthttp.StatusBadRequest
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		status = fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		status = fasthttp.StatusRequestTimeout
	}
	ctx.Error(err.Error(), status)
}

func (in *ingress) track(f *flight, begins bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if begins {
		in.flights[f] = struct{}{}
		return
	}
	delete(in.flights, f)
}

// watch ends the requests of callers that have left.
func (in *ingress) watch(ctx context.Context) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		in.mu.Lock()
		for f := range in.flights {
			if connprobe.PeerClosed(f.http.Conn()) {
				f.end(errCallerLeft)
			}
		}
		in.mu.Unlock()
	}
}

// countRequest counts a first send to a service.
func (in *ingress) countRequest(service ident.Service) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.budget(service).Request(clock.Now())
}

// spend takes a second send from the budget of a service.
func (in *ingress) spend(service ident.Service, daemons int) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.budget(service).Spend(clock.Now(), daemons)
}

func (in *ingress) budget(service ident.Service) *resend.Budget {
	b := in.budgets[service]
	if b == nil {
		s := in.d.settings()
		b = resend.NewBudget(resend.Limits{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow})
		in.budgets[service] = b
	}
	return b
}

// inFlight returns the number of requests that are not answered yet.
func (in *ingress) inFlight() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.flights)
}

func random() float64 { return rand.Float64() }

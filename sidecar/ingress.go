package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleystack/parsleystack/callerhttp"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/pipeline"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/resend"
)

const (
	// callerCheckInterval is the time between checks for callers that have closed
	// their connection. Their requests must be canceled at the target within half a
	// second.
	callerCheckInterval = 100 * time.Millisecond
	// maxCallerHeader and maxCallerBody are above the limits of any known
	// configuration. The limits of the configuration are checked in addition.
	maxCallerHeader = 32 << 10
	maxCallerBody   = 64 << 20
	// callerIdleTimeout is longer than callers keep an idle connection.
	callerIdleTimeout = 120 * time.Second
	// callerReadTimeout bounds the time to read one request.
	callerReadTimeout = 60 * time.Second
	// callerWriteTimeout is how long a caller may take no bytes of a response.
	callerWriteTimeout = 60 * time.Second
	// maxPipelined is the number of requests of one connection that are in progress at a
	// time. The bursts that were measured had five. Those beyond it stay unread, without a
	// deadline; each one that is read takes about 16 KB, so a full window takes 256 KB.
	maxPipelined = 16
	// maxPipelinedBytes bounds their bodies and the responses that wait for their turn. Bodies
	// on the known deployments are below 8 KB.
	maxPipelinedBytes = 256 << 10
)

// maxVerdictWait is how long the entry of a request that it has canceled waits for the answer
// of the target's daemon, which knows whether the target has received the request. Without
// it the request ends with a status that does not say so. Responses must be complete 250 ms
// after a timeout; daemons on the slowest machines stand still for up to 80 ms.
const maxVerdictWait = 80 * time.Millisecond

// verdictWait implements transport.Config.VerdictWait. A caller that has left needs no answer.
func verdictWait(cause error) time.Duration {
	if errors.Is(cause, errTimeout) || errors.Is(cause, errStopping) {
		return maxVerdictWait
	}
	return 0
}

var (
	errCallerDisconnected = errors.New("the caller closed the connection")
	errTimeout            = errors.New("the request's deadline has passed")
	errStopping           = errors.New("the grace time of the stopping daemon has passed")
	errAnsweredElsewhere  = errors.New("another copy of the request was answered")
)

// ingress is the HTTP server for callers and for calls of the local target.
type ingress struct {
	d      *Daemon
	server *callerhttp.Server
	// responses are the sizes of those that arrive from other daemons.
	responses responseSizes

	mu      sync.Mutex
	active  map[*callerRequest]struct{}
	budgets map[ident.Service]*resend.Budget
	hedges  *hedges // nil if no request gets a second copy
	// refusing is set once new requests are refused and requests no longer wait for
	// an owner. The schedule of a stop may say so before; see refuses.
	refusing atomic.Bool
}

func newIngress(d *Daemon) *ingress {
	in := &ingress{d: d, active: make(map[*callerRequest]struct{}), budgets: make(map[ident.Service]*resend.Budget)}
	if share := d.settings().HedgeShare; share > 0 {
		in.hedges = newHedges(share)
	}
	in.server = callerhttp.NewServer(callerhttp.Config{
		MaxConns:     d.callerConns(0),
		RejectFields: platform.RetryAfterLine(retryRefused),
		MaxHeader:    maxCallerHeader,
		MaxBody:      in.maxBody,
		Memory:       d.memory,
		Window:       pipeline.Limits{Requests: maxPipelined, Bytes: maxPipelinedBytes},
		ReadTimeout:  callerReadTimeout,
		IdleTimeout:  callerIdleTimeout,
		WriteTimeout: callerWriteTimeout,
	}, in)
	return in
}

// discardLogger drops the messages of fasthttp; each request has its own log line.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

func (in *ingress) serve(l net.Listener) error { return in.server.Serve(l) }

// maxBody returns the largest size of a body that is read.
func (in *ingress) maxBody() int {
	if v := in.d.control.view.Load(); v.routes != nil && v.routes.Limits().BodyBytes > 0 {
		return min(v.routes.Limits().BodyBytes, maxCallerBody)
	}
	return maxCallerBody
}

// Prepare implements callerhttp.Handler.
func (in *ingress) Prepare(x *callerhttp.Exchange) callerhttp.Work {
	f := newCallerRequest(in, x)
	f.arrived, f.unread, f.behind, f.bodyTooLarge = x.Arrived, x.Unread, x.Behind, x.BodyTooLarge
	in.d.metrics.unreadTime.Update(f.unread.Seconds())
	if !f.parse() {
		f.cancel(nil)
		return nil
	}
	in.track(f, true)
	return f
}

// TurnAwaited implements callerhttp.Handler.
func (in *ingress) TurnAwaited(d time.Duration) { in.d.metrics.turnTime.Update(d.Seconds()) }

func (in *ingress) track(f *callerRequest, started bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if started {
		in.active[f] = struct{}{}
		return
	}
	delete(in.active, f)
}

// cancelAbandoned aborts requests whose callers have closed the connection, until ctx
// ends.
func (in *ingress) cancelAbandoned(ctx context.Context) error {
	ticker := time.NewTicker(callerCheckInterval)
	defer ticker.Stop()
	last := clock.Now()
	var requests []*callerRequest
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := clock.Now()
		in.d.metrics.callerCheckDelay.Update(max(now.Sub(last)-callerCheckInterval, 0).Seconds())
		last = now
		requests = in.appendActive(requests[:0])
		for _, f := range requests {
			f.callerLeft()
		}
		clear(requests)
	}
}

// refuses reports whether new requests are refused, and requests no longer wait for an owner.
func (in *ingress) refuses() bool {
	return in.refusing.Load() || in.d.stopping.Load().refusing(clock.Now())
}

// abortAll aborts the requests in progress with a cause and returns their number.
func (in *ingress) abortAll(cause error) int {
	requests := in.appendActive(nil)
	for _, f := range requests {
		f.abort(cause)
	}
	return len(requests)
}

// appendActive appends the requests in progress to a slice.
func (in *ingress) appendActive(requests []*callerRequest) []*callerRequest {
	in.mu.Lock()
	defer in.mu.Unlock()
	for f := range in.active {
		requests = append(requests, f)
	}
	return requests
}

// countFirstSend adds a first send to the retry budget of a service.
func (in *ingress) countFirstSend(service ident.Service) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.budget(service).Request(clock.Now())
}

// spendRetry takes one resend from the retry budget of a service. It reports false if
// the budget is exhausted.
func (in *ingress) spendRetry(service ident.Service, daemons int) bool {
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

// inFlight returns the number of requests without a response.
func (in *ingress) inFlight() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return len(in.active)
}

func random() float64 { return rand.Float64() }

package owner

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/admission"
	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/lease"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/target"
	"github.com/parsleystack/parsleystack/transport"
	"github.com/parsleystack/parsleystack/wire"
)

// retryAfterMoving is the time by which a range in handover is expected to have
// its new owner.
const retryAfterMoving = 100 * time.Millisecond

// activeRequest is the state of one request while the owner serves it. Values
// are pooled.
type activeRequest struct {
	owner        *Owner
	exchange     *transport.Exchange
	req          *wire.Request
	spec         *specVersion
	arrived      clock.Time // by Config.Fast
	deadline     clock.Time // by Config.Fast
	use          lease.Use
	grant        cell.Grant // sent to the target with the request
	expires      clock.Time // end of the grant's lease, less LeaseMargin if targets are not fenced; by Config.Now
	ticket       *ticket
	call         target.Call
	writeStarted atomic.Bool // bytes may have been written to the target
	beforeWrite  func() error
	resp         wire.Response
	httpReq      fasthttp.Request
	httpResp     fasthttp.Response
}

var requestPool = sync.Pool{New: func() any {
	r := &activeRequest{ticket: newTicket()}
	r.beforeWrite = r.confirmLease
	return r
}}

func newActiveRequest(o *Owner, e *transport.Exchange) *activeRequest {
	r := requestPool.Get().(*activeRequest)
	r.owner, r.exchange, r.req = o, e, &e.Request
	r.arrived = o.cfg.Fast()
	r.deadline = r.arrived.Add(r.req.Timeout)
	return r
}

func (r *activeRequest) release() {
	r.owner, r.exchange, r.req, r.spec = nil, nil, nil, nil
	r.use, r.grant = lease.Use{}, cell.Grant{}
	r.writeStarted.Store(false)
	r.call.Reset()
	r.resp.Reset()
	r.httpReq.Reset()
	r.httpResp.Reset()
	requestPool.Put(r)
}

// serve processes the request and responds to the exchange.
func (r *activeRequest) serve() {
	r.process()
	if r.use.Valid() {
		r.use.Release()
	}
	r.respond()
}

func (r *activeRequest) process() {
	if !r.checkSpec() || !r.acquire() {
		return
	}
	if r.deduplicates() {
		r.processOnce()
		return
	}
	r.execute()
}

// checkSpec refuses the request if there is no configuration, if it is for
// another service, or if its sender has an older configuration.
func (r *activeRequest) checkSpec() bool {
	r.spec = r.owner.spec.Load()
	switch {
	case r.spec == nil:
		return r.refuse(outcome.NotReady, retryAfterMoving)
	case r.req.Service != r.owner.cfg.Service:
		return r.refuse(outcome.UnknownService, 0)
	case r.req.ConfigOffset < r.spec.offset:
		return r.refuse(outcome.StaleConfig, retryAfterMoving)
	}
	return true
}

// acquire counts the request as in flight under the grant of its range.
func (r *activeRequest) acquire() bool {
	var verdict lease.Verdict
	now := r.owner.cfg.Now()
	if r.req.Keyed {
		r.use, verdict = r.owner.cfg.Leases.Acquire(r.req.Point, now)
	} else {
		r.use, verdict = r.owner.cfg.Leases.AcquireAny(now)
	}
	if verdict == lease.Held && r.req.Keyed {
		r.owner.cfg.Observe(r.req.Point)
	}
	return r.requireHeld(verdict)
}

// requireHeld refuses the request unless its range is held. It reports whether
// the range is held.
func (r *activeRequest) requireHeld(v lease.Verdict) bool {
	if v == lease.Held {
		return true
	}
	r.setHint()
	switch v {
	case lease.Expired:
		return r.refuse(outcome.LeaseExpired, retryAfterMoving)
	case lease.Releasing:
		return r.refuse(outcome.Moving, retryAfterMoving)
	}
	return r.refuse(outcome.WrongOwner, retryAfterMoving)
}

// setHint adds the current owner of the request's point to the response.
func (r *activeRequest) setHint() {
	if h, ok := r.owner.cfg.Hints(r.req.Point); ok {
		r.resp.Hint = h
	}
}

// execute admits the request, runs it at the target and stores its outcome.
func (r *activeRequest) execute() {
	r.exchange.OnCancel(r)
	if !r.admit() {
		return
	}
	started := r.owner.cfg.Fast()
	completion := r.runTarget()
	inFlight, capacity := r.owner.gate.finish(r.ticket, completion, r.owner.cfg.Fast().Sub(started))
	r.resp.InFlight, r.resp.Capacity = uint32(inFlight), uint32(capacity)
}

// admit waits for a slot. It reports false if the request was refused.
func (r *activeRequest) admit() bool {
	item := admission.Item{Flow: r.flow(), Priority: r.req.Priority, Deadline: r.deadline}
	if r.owner.gate.enter(r.ticket, item) {
		return true
	}
	inFlight, capacity := r.owner.gate.load()
	r.resp.InFlight, r.resp.Capacity = uint32(inFlight), uint32(capacity)
	if r.ticket.refusal.Reason == outcome.Draining {
		r.setHint()
	}
	return r.refuse(r.ticket.refusal.Reason, r.ticket.refusal.RetryAfter)
}

// flow returns the flow of the key, or of the sending instance for a request
// without a key.
func (r *activeRequest) flow() admission.Flow {
	if r.req.Keyed {
		return admission.Flow(r.req.Point)
	}
	return admission.Flow(senderHash(r.exchange.From))
}

func senderHash(n ident.Node) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211 // FNV-1a
	h := uint64(offset)
	for i := range len(n.Instance) {
		h = (h ^ uint64(n.Instance[i])) * prime
	}
	return h
}

// deadlinePassed reports whether the request's deadline has passed.
func (r *activeRequest) deadlinePassed() bool { return !r.owner.cfg.Fast().Before(r.deadline) }

// refuse sets the outcome to not run and returns false.
func (r *activeRequest) refuse(reason outcome.Reason, retryAfter time.Duration) bool {
	r.resp.Kind, r.resp.Reason, r.resp.RetryAfter = outcome.NotRun, reason, retryAfter
	return false
}

// setUnknown sets the outcome to unknown.
func (r *activeRequest) setUnknown(reason outcome.Reason) {
	r.resp.Kind, r.resp.Reason, r.resp.RetryAfter = outcome.Unknown, reason, 0
}

func (r *activeRequest) respond() {
	r.owner.stats.Add(r.resp.Result())
	r.exchange.OnCancel(nil)
	if err := r.exchange.Respond(&r.resp); err != nil {
		r.resp.Reset()
		r.setUnknown(outcome.BadRequest)
		_ = r.exchange.Respond(&r.resp)
	}
}

// Cancel implements transport.Canceler. A request with an idempotency key is
// not canceled once it may have been written to the target, so that a repeat by
// the caller gets its response.
func (r *activeRequest) Cancel() {
	r.owner.gate.cancel(r.ticket)
	if r.writeStarted.Load() && r.deduplicates() {
		return
	}
	r.call.Cancel()
}

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

// retryAfterMoving is the time after which a moving range is expected to have
// its new owner.
const retryAfterMoving = 100 * time.Millisecond

// run is one request on its way through the owner.
type run struct {
	owner    *Owner
	exchange *transport.Exchange
	req      *wire.Request
	spec     *specVersion
	arrived  clock.Time // by Config.Fast
	deadline clock.Time // by Config.Fast
	use      lease.Use
	grant    cell.Grant // that the request goes to the target with
	expires  clock.Time // end of the grant's lease, less a margin, by Config.Now
	ticket   *ticket
	call     target.Call
	sending  atomic.Bool // bytes may have gone to the target
	confirm  func() error
	resp     wire.Response
	httpReq  fasthttp.Request
	httpResp fasthttp.Response
}

var runs = sync.Pool{New: func() any {
	r := &run{ticket: newTicket()}
	r.confirm = r.confirmLease
	return r
}}

func newRun(o *Owner, e *transport.Exchange) *run {
	r := runs.Get().(*run)
	r.owner, r.exchange, r.req = o, e, &e.Request
	r.arrived = o.cfg.Fast()
	r.deadline = r.arrived.Add(r.req.Timeout)
	return r
}

func (r *run) free() {
	r.owner, r.exchange, r.req, r.spec = nil, nil, nil, nil
	r.use, r.grant = lease.Use{}, cell.Grant{}
	r.sending.Store(false)
	r.call.Reset()
	r.resp.Reset()
	r.httpReq.Reset()
	r.httpResp.Reset()
	runs.Put(r)
}

// serve answers the exchange.
func (r *run) serve() {
	r.process()
	if r.use.Valid() {
		r.use.Release()
	}
	r.respond()
}

func (r *run) process() {
	if !r.checkSpec() || !r.acquire() {
		return
	}
	if r.remembers() {
		r.processOnce()
		return
	}
	r.execute()
}

// checkSpec refuses requests that the configuration in force does not cover.
func (r *run) checkSpec() bool {
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

// acquire counts the request in flight under the grant of its range.
func (r *run) acquire() bool {
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
	return r.accept(verdict)
}

// accept refuses the request unless its range is held.
func (r *run) accept(v lease.Verdict) bool {
	if v == lease.Held {
		return true
	}
	r.hint()
	switch v {
	case lease.Expired:
		return r.refuse(outcome.LeaseExpired, retryAfterMoving)
	case lease.Releasing:
		return r.refuse(outcome.Moving, retryAfterMoving)
	}
	return r.refuse(outcome.WrongOwner, retryAfterMoving)
}

func (r *run) hint() {
	if h, ok := r.owner.cfg.Hints(r.req.Point); ok {
		r.resp.Hint = h
	}
}

// execute admits the request, runs it and stores its outcome.
func (r *run) execute() {
	r.exchange.OnCancel(r)
	if !r.admit() {
		return
	}
	started := r.owner.cfg.Fast()
	ending := r.runTarget()
	inFlight, capacity := r.owner.gate.finish(r.ticket, ending, r.owner.cfg.Fast().Sub(started))
	r.resp.InFlight, r.resp.Capacity = uint32(inFlight), uint32(capacity)
}

func (r *run) admit() bool {
	item := admission.Item{Flow: r.flow(), Priority: r.req.Priority, Deadline: r.deadline}
	if r.owner.gate.enter(r.ticket, item) {
		return true
	}
	inFlight, capacity := r.owner.gate.load()
	r.resp.InFlight, r.resp.Capacity = uint32(inFlight), uint32(capacity)
	if r.ticket.refusal.Reason == outcome.Draining {
		r.hint()
	}
	return r.refuse(r.ticket.refusal.Reason, r.ticket.refusal.RetryAfter)
}

// flow returns the key's flow, or the sender's for a request without a key.
func (r *run) flow() admission.Flow {
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

// late reports whether the request's deadline has passed.
func (r *run) late() bool { return !r.owner.cfg.Fast().Before(r.deadline) }

// refuse stores the outcome "not run" and returns false.
func (r *run) refuse(reason outcome.Reason, retryAfter time.Duration) bool {
	r.resp.Kind, r.resp.Reason, r.resp.RetryAfter = outcome.NotRun, reason, retryAfter
	return false
}

func (r *run) unknown(reason outcome.Reason) {
	r.resp.Kind, r.resp.Reason, r.resp.RetryAfter = outcome.Unknown, reason, 0
}

func (r *run) respond() {
	r.owner.stats.Add(r.resp.Result())
	r.exchange.OnCancel(nil)
	if err := r.exchange.Respond(&r.resp); err != nil {
		r.resp.Reset()
		r.unknown(outcome.BadRequest)
		_ = r.exchange.Respond(&r.resp)
	}
}

// Cancel implements transport.Canceler. A request with an idempotency key
// that is at the target goes on, so that the caller's repeat finds its answer.
func (r *run) Cancel() {
	r.owner.gate.leave(r.ticket)
	if r.sending.Load() && r.remembers() {
		return
	}
	r.call.Cancel()
}

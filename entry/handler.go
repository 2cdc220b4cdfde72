package entry

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/connprobe"
	"github.com/parsleystack/parsleystack/dispatch"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/route"
	"github.com/parsleystack/parsleystack/wire"
)

var (
	errDeadline           = errors.New("entry: request deadline exceeded")
	errCallerDisconnected = errors.New("entry: caller closed its connection")
	errOwnerReplaced      = errors.New("entry: key is now owned by another daemon")
)

// The timeout sent to the owner is shorter than the time left, so that its
// response still arrives. The margin is 1/responseMarginDivisor of the time left,
// but at most maxResponseMargin.
const (
	responseMarginDivisor = 20
	maxResponseMargin     = 5 * time.Millisecond
)

// handle serves one request.
func (g *Gateway) handle(ctx *fasthttp.RequestCtx) {
	r := newActiveRequest(g, ctx)
	defer r.release()
	if g.draining.Load() {
		ctx.SetConnectionClose()
	}
	if p := r.parse(g.cfg.Router.Table()); p != nil {
		g.stats.refused(p.reason)
		if p.status == fasthttp.StatusBadRequest {
			ctx.SetConnectionClose()
		}
		writeProblem(ctx, p)
		return
	}
	r.startWatching()
	result := r.dispatch()
	r.stopWatching()
	g.stats.Add(result)
	r.write(result)
}

// startWatching sets the retry constraints and adds the request to the watcher,
// which checks its deadline and its caller's connection.
func (r *activeRequest) startWatching() {
	g := r.gateway
	r.state.Constraints = dispatch.Constraints{
		Keyed:      r.req.Keyed,
		Idempotent: r.req.Idempotent,
		Deadline:   r.deadline,
		Service:    g.budget(r.service.Spec.Name),
	}
	if r.state.Constraints.Service != nil {
		r.state.Constraints.Service.Earn(r.service.Spec.RetryRatio)
	}
	g.watcher.add(r)
}

func (r *activeRequest) stopWatching() {
	r.gateway.watcher.remove(r)
}

// dispatch runs the request's state machine until it has an outcome.
func (r *activeRequest) dispatch() outcome.Result {
	ev := dispatch.Event{Kind: dispatch.Arrived}
	for {
		action := r.state.Step(ev, r.gateway.cfg.Now())
		switch action.Kind {
		case dispatch.Finish:
			return action.Result
		case dispatch.Hold:
			ev = r.gateway.holder(r.req.Service).hold(r)
		default:
			ev = r.attempt(action.Kind == dispatch.SendElsewhere)
		}
	}
}

// attempt sends the request once.
func (r *activeRequest) attempt(elsewhere bool) dispatch.Event {
	if connprobe.PeerClosed(r.http.Conn()) { // before the request was read, or while it was held
		r.ctx.end(errCallerDisconnected)
		return r.interrupted(false)
	}
	table := r.gateway.cfg.Router.Table()
	svc, ok := table.Service([]byte(r.req.Service))
	if !ok {
		return notRun(outcome.UnknownService)
	}
	r.service = svc
	to, ok := r.choose(elsewhere)
	r.lastDestination = to
	if !ok {
		return dispatch.Event{Kind: dispatch.NoRoute}
	}
	r.req.Token = to.Entry.Token
	r.req.ConfigOffset = table.Offset
	r.req.Timeout = r.timeLeft()
	return r.send(to)
}

// notRun returns the event of an attempt that was refused with reason.
func notRun(reason outcome.Reason) dispatch.Event {
	return dispatch.Event{Kind: dispatch.Answered, Result: outcome.Result{Kind: outcome.NotRun, Reason: reason}}
}

// choose returns the owner of the key, or any daemon for a request without a
// key. If elsewhere is set, the daemon of the last attempt is avoided.
func (r *activeRequest) choose(elsewhere bool) (route.Destination, bool) {
	if r.req.Keyed {
		return r.service.Owner(r.req.Point)
	}
	var avoid *route.Peer
	if elsewhere {
		avoid = r.lastDestination.Peer
	}
	g := r.gateway
	return r.service.Choose(g.cfg.Zone, g.nextRandom(), avoid, g.cfg.Now())
}

// timeLeft returns the timeout for the owner, so that its response arrives before
// the deadline.
func (r *activeRequest) timeLeft() time.Duration {
	left := r.deadline.Sub(r.gateway.cfg.Now())
	return left - min(left/responseMarginDivisor, maxResponseMargin)
}

// send forwards the request to a daemon and returns the event of its response.
func (r *activeRequest) send(to route.Destination) dispatch.Event {
	if !r.gateway.cfg.DisableRetryBudget {
		r.state.Constraints.Peer = &to.Peer.Retries
	}
	if r.state.Constraints.Peer != nil && r.state.Resends() == 0 {
		to.Peer.Retries.Earn(r.service.Spec.RetryRatio)
	}
	r.resp.Release()
	r.resp.Reset()
	r.trackAttempt(to)
	to.Peer.Begin()
	sent, err := r.gateway.cfg.Pool.Do(r.ctx, to.Entry.Addr, &r.req, &r.resp)
	to.Peer.End()
	r.awaitedOwner.Store(nil)
	if err != nil {
		return r.sendFailed(sent, err)
	}
	to.Peer.Report(r.resp.InFlight, r.resp.Capacity, r.gateway.cfg.Now())
	return dispatch.Event{Kind: dispatch.Answered, Result: r.resp.Result(), NewerOwner: r.applyHint()}
}

// sendFailed returns the event for an attempt without a response.
func (r *activeRequest) sendFailed(sent bool, err error) dispatch.Event {
	var oversize *wire.OversizeError
	switch {
	case r.ctx.Err() != nil:
		return r.interrupted(sent)
	case errors.As(err, &oversize) && !sent:
		return notRun(outcome.BadRequest)
	}
	return dispatch.Event{Kind: dispatch.PeerFailed, Sent: sent}
}

// interrupted returns the event for the cause that ended the request's context.
func (r *activeRequest) interrupted(sent bool) dispatch.Event {
	switch r.ctx.Err() {
	case errCallerDisconnected:
		return dispatch.Event{Kind: dispatch.CallerLeft, Sent: sent}
	case errOwnerReplaced:
		return r.renewContext(sent)
	}
	return dispatch.Event{Kind: dispatch.DeadlinePassed, Sent: sent}
}

// applyHint merges the owner named in a response into the routing table. It
// reports whether the table now has another owner than the last attempt's.
func (r *activeRequest) applyHint() bool {
	h := &r.resp.Hint
	if h.IsZero() {
		return r.ownerChanged()
	}
	r.gateway.cfg.Router.MergeEntries(r.req.Service, route.Entry{Range: h.Range, Owner: h.Owner, Addr: h.Addr, Zone: h.Zone, Token: h.Token})
	return r.ownerChanged()
}

// ownerChanged reports whether the routing table has another owner than the last
// attempt's.
func (r *activeRequest) ownerChanged() bool {
	svc, ok := r.gateway.cfg.Router.Table().Service([]byte(r.req.Service))
	if !ok {
		return false
	}
	if !r.req.Keyed {
		return r.lastDestination.Peer == nil && len(svc.Peers()) > 0
	}
	to, ok := svc.Owner(r.req.Point)
	return ok && (r.lastDestination.Entry == nil || to.Entry.Token != r.lastDestination.Entry.Token || to.Entry.Addr != r.lastDestination.Entry.Addr)
}

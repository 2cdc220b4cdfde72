package entry

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/dispatch"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/route"
	"github.com/parsleystack/parsleystack/wire"
)

var (
	errDeadline   = errors.New("entry: the request's deadline passed")
	errCallerLeft = errors.New("entry: the caller left")
	errReplaced   = errors.New("entry: the key has another owner")
)

// answerMargin is the part of the time left that is kept for the owner's last
// answer, one in answerMarginShare but at most maxAnswerMargin.
const (
	answerMarginShare = 20
	maxAnswerMargin   = 5 * time.Millisecond
)

// handle serves one request.
func (g *Gateway) handle(ctx *fasthttp.RequestCtx) {
	f := newFlight(g, ctx)
	defer f.free()
	if g.draining.Load() {
		ctx.SetConnectionClose()
	}
	if p := f.read(g.cfg.Router.Table()); p != nil {
		g.stats.refused(p.reason)
		if p.status == fasthttp.StatusBadRequest {
			ctx.SetConnectionClose()
		}
		writeProblem(ctx, p)
		return
	}
	f.begin()
	result := f.dispatch()
	f.end()
	g.stats.Add(result)
	f.write(result)
}

// begin starts to watch for the deadline and for the caller's leaving.
func (f *flight) begin() {
	g := f.gateway
	f.state.Constraints = dispatch.Constraints{
		Keyed:      f.req.Keyed,
		Idempotent: f.req.Idempotent,
		Deadline:   f.deadline,
		Service:    g.budget(f.service.Spec.Name),
	}
	if f.state.Constraints.Service != nil {
		f.state.Constraints.Service.Earn(f.service.Spec.RetryRatio)
	}
	g.watcher.add(f)
}

func (f *flight) end() {
	f.gateway.watcher.remove(f)
}

// dispatch drives the request's state machine to its outcome.
func (f *flight) dispatch() outcome.Result {
	ev := dispatch.Event{Kind: dispatch.Arrived}
	for {
		action := f.state.Step(ev, f.gateway.cfg.Now())
		switch action.Kind {
		case dispatch.Finish:
			return action.Result
		case dispatch.Hold:
			ev = f.gateway.holder(f.req.Service).hold(f)
		default:
			ev = f.attempt(action.Kind == dispatch.SendElsewhere)
		}
	}
}

// attempt sends the request once.
func (f *flight) attempt(elsewhere bool) dispatch.Event {
	table := f.gateway.cfg.Router.Table()
	svc, ok := table.Service([]byte(f.req.Service))
	if !ok {
		return answered(outcome.UnknownService)
	}
	f.service = svc
	to, ok := f.choose(elsewhere)
	f.last = to
	if !ok {
		return dispatch.Event{Kind: dispatch.NoRoute}
	}
	f.req.Token = to.Entry.Token
	f.req.ConfigOffset = table.Offset
	f.req.Timeout = f.timeLeft()
	return f.send(to)
}

func answered(reason outcome.Reason) dispatch.Event {
	return dispatch.Event{Kind: dispatch.Answered, Result: outcome.Result{Kind: outcome.NotRun, Reason: reason}}
}

func (f *flight) choose(elsewhere bool) (route.Destination, bool) {
	if f.req.Keyed {
		return f.service.Owner(f.req.Point)
	}
	var avoid *route.Peer
	if elsewhere {
		avoid = f.last.Peer
	}
	g := f.gateway
	return f.service.Choose(g.cfg.Zone, g.nextRandom(), avoid, g.cfg.Now())
}

// timeLeft returns the time for the owner, so that its answer still comes
// before the deadline.
func (f *flight) timeLeft() time.Duration {
	left := f.deadline.Sub(f.gateway.cfg.Now())
	return left - min(left/answerMarginShare, maxAnswerMargin)
}

func (f *flight) send(to route.Destination) dispatch.Event {
	if !f.gateway.cfg.NoRetryBudget {
		f.state.Constraints.Peer = &to.Peer.Retries
	}
	if f.state.Constraints.Peer != nil && f.state.Resends() == 0 {
		to.Peer.Retries.Earn(f.service.Spec.RetryRatio)
	}
	f.resp.Release()
	f.resp.Reset()
	f.ask(to)
	to.Peer.Begin()
	sent, err := f.gateway.cfg.Pool.Do(f.ctx, to.Entry.Addr, &f.req, &f.resp)
	to.Peer.End()
	f.asked.Store(nil)
	if err != nil {
		return f.failed(sent, err)
	}
	to.Peer.Report(f.resp.InFlight, f.resp.Capacity, f.gateway.cfg.Now())
	return dispatch.Event{Kind: dispatch.Answered, Result: f.resp.Result(), NewerOwner: f.learn()}
}

func (f *flight) failed(sent bool, err error) dispatch.Event {
	var oversize *wire.OversizeError
	switch {
	case f.ctx.Err() != nil:
		return f.interrupted(sent)
	case errors.As(err, &oversize) && !sent:
		return answered(outcome.BadRequest)
	}
	return dispatch.Event{Kind: dispatch.PeerFailed, Sent: sent}
}

// interrupted returns the event that ended the request's context.
func (f *flight) interrupted(sent bool) dispatch.Event {
	switch f.ctx.Err() {
	case errCallerLeft:
		return dispatch.Event{Kind: dispatch.CallerLeft, Sent: sent}
	case errReplaced:
		return f.renewContext(sent)
	}
	return dispatch.Event{Kind: dispatch.DeadlinePassed, Sent: sent}
}

// learn takes in the owner that a refusal names. It reports whether the table
// has another owner now than the one that was asked.
func (f *flight) learn() bool {
	h := &f.resp.Hint
	if h.IsZero() {
		return f.moved()
	}
	f.gateway.cfg.Router.MergeEntries(f.req.Service, route.Entry{Range: h.Range, Owner: h.Owner, Addr: h.Addr, Zone: h.Zone, Token: h.Token})
	return f.moved()
}

// moved reports whether the table names another owner than the last asked.
func (f *flight) moved() bool {
	svc, ok := f.gateway.cfg.Router.Table().Service([]byte(f.req.Service))
	if !ok {
		return false
	}
	if !f.req.Keyed {
		return f.last.Peer == nil && len(svc.Peers()) > 0
	}
	to, ok := svc.Owner(f.req.Point)
	return ok && (f.last.Entry == nil || to.Entry.Token != f.last.Entry.Token || to.Entry.Addr != f.last.Entry.Addr)
}

package entry

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/dispatch"
	"github.com/parsleystack/parsleystack/route"
)

// suspectTimeout is the time after which the gateway refreshes the owner of a key
// whose current owner has not answered an idempotent request.
const suspectTimeout = 300 * time.Millisecond

// trackAttempt records the owner that the attempt is sent to, if the request may
// be sent again to another owner.
func (r *activeRequest) trackAttempt(to route.Destination) {
	if r.req.Keyed && r.req.Idempotent {
		r.awaitedSince.Store(int64(r.gateway.cfg.Now()))
		r.awaitedOwner.Store(to.Entry)
	}
}

// ownerReplaced reports whether the request's key is now owned by a daemon other
// than the one that the attempt was sent to. It is called by the watcher. If the
// owner has not answered for suspectTimeout, it also starts a refresh of the
// key's owner.
func (r *activeRequest) ownerReplaced(now clock.Time) bool {
	awaited := r.awaitedOwner.Load()
	if awaited == nil {
		return false
	}
	svc, ok := r.gateway.cfg.Router.Table().Service([]byte(r.req.Service))
	if !ok {
		return false
	}
	if now.Sub(clock.Time(r.awaitedSince.Load())) > suspectTimeout {
		r.gateway.holder(r.req.Service).suspect(r.req.Point, now)
	}
	to, ok := svc.Owner(r.req.Point)
	return ok && (to.Entry.Owner != awaited.Owner || to.Entry.Addr != awaited.Addr)
}

// renewContext replaces the context after an attempt was canceled because its
// owner was replaced, so that the request can be sent again.
func (r *activeRequest) renewContext(sent bool) dispatch.Event {
	s := r.gateway.watcher.shard(r)
	s.mu.Lock()
	r.ctx = newRequestContext()
	s.mu.Unlock()
	return dispatch.Event{Kind: dispatch.OwnerReplaced, Sent: sent}
}

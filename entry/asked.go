package entry

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/dispatch"
	"github.com/parsleystack/parsleystack/route"
)

// suspectAfter is the time after which an owner that has not answered a read
// makes the gateway ask who owns the key now.
const suspectAfter = 300 * time.Millisecond

// ask notes that the request waits for the owner of its key, if it may be sent
// to another one.
func (f *flight) ask(to route.Destination) {
	if f.req.Keyed && f.req.Idempotent {
		f.askedAt.Store(int64(f.gateway.cfg.Now()))
		f.asked.Store(to.Entry)
	}
}

// replaced reports whether another daemon owns the request's key than the one
// that it waits for. It is called by the watcher. An owner that is silent for
// long makes the holder ask for routes.
func (f *flight) replaced(now clock.Time) bool {
	asked := f.asked.Load()
	if asked == nil {
		return false
	}
	svc, ok := f.gateway.cfg.Router.Table().Service([]byte(f.req.Service))
	if !ok {
		return false
	}
	if now.Sub(clock.Time(f.askedAt.Load())) > suspectAfter {
		f.gateway.holder(f.req.Service).suspect(f.req.Point, now)
	}
	to, ok := svc.Owner(f.req.Point)
	return ok && (to.Entry.Owner != asked.Owner || to.Entry.Addr != asked.Addr)
}

// renewContext lets the request go on after its attempt was given up.
func (f *flight) renewContext(sent bool) dispatch.Event {
	s := f.gateway.watcher.shard(f)
	s.mu.Lock()
	f.ctx = newFlightContext()
	s.mu.Unlock()
	return dispatch.Event{Kind: dispatch.OwnerReplaced, Sent: sent}
}

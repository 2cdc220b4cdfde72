package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/connprobe"
)

const (
	watchShards = 16
	// watchInterval is the time between sweeps, and so the delay with which a
	// passed deadline is detected here. The owner's daemon enforces the deadline
	// without that delay.
	watchInterval = 5 * time.Millisecond
	// sweepsPerProbe is the number of sweeps for each probe of the callers'
	// connections.
	sweepsPerProbe = 5
)

// watcher ends the contexts of requests whose deadline has passed, whose caller
// has disconnected or whose owner was replaced. fasthttp does not read from a
// connection while its request is served, so it does not detect a closed one.
type watcher struct {
	shards  [watchShards]watchShard
	active  atomic.Int64  // requests in all shards
	started chan struct{} // receives when active rises from zero
}

type watchShard struct {
	mu       sync.Mutex
	requests map[*activeRequest]struct{}
}

func newWatcher() *watcher {
	w := &watcher{started: make(chan struct{}, 1)}
	for i := range w.shards {
		w.shards[i].requests = make(map[*activeRequest]struct{})
	}
	return w
}

func (w *watcher) shard(r *activeRequest) *watchShard {
	return &w.shards[r.http.ConnID()%watchShards]
}

func (w *watcher) add(r *activeRequest) {
	s := w.shard(r)
	s.mu.Lock()
	s.requests[r] = struct{}{}
	s.mu.Unlock()
	if w.active.Add(1) > 1 {
		return
	}
	select {
	case w.started <- struct{}{}:
	default:
	}
}

func (w *watcher) remove(r *activeRequest) {
	s := w.shard(r)
	s.mu.Lock()
	delete(s.requests, r)
	s.mu.Unlock()
	w.active.Add(-1)
}

// run sweeps all shards every watchInterval until ctx ends, and sleeps while no
// request is in flight.
func (w *watcher) run(ctx context.Context, now func() clock.Time) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for i := range w.shards {
			w.shards[i].sweep(now(), round%sweepsPerProbe == 0)
		}
		if w.active.Load() > 0 {
			continue
		}
		ticker.Stop()
		if !w.sleep(ctx) {
			return
		}
		ticker.Reset(watchInterval)
	}
}

// sleep blocks until a request is in flight. It reports false if ctx ends first.
func (w *watcher) sleep(ctx context.Context) bool {
	for w.active.Load() == 0 {
		select {
		case <-ctx.Done():
			return false
		case <-w.started:
		}
	}
	return true
}

// sweep ends the contexts of requests whose deadline has passed or whose owner
// was replaced and, if probe is set, of those whose callers have disconnected.
// Most requests end before the first probe.
func (s *watchShard) sweep(now clock.Time, probe bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.requests {
		switch {
		case !now.Before(r.deadline):
			r.ctx.end(errDeadline)
		case probe && connprobe.PeerClosed(r.http.Conn()):
			r.ctx.end(errCallerDisconnected)
		case r.ownerReplaced(now):
			r.ctx.end(errOwnerReplaced)
		}
	}
}

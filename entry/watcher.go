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
	// watchInterval is the time between sweeps, and thus the delay with which a
	// deadline is noticed here. The owner's daemon notices it exactly.
	watchInterval = 5 * time.Millisecond
	// probeRounds is the number of sweeps between looks at the connections.
	probeRounds = 5
)

// watcher ends the contexts of requests whose deadline has passed or whose
// caller has left: fasthttp reads nothing from a connection while its request
// is served.
type watcher struct {
	shards [watchShards]watchShard
	active atomic.Int64  // flights in all shards
	begun  chan struct{} // receives when a first flight begins
}

type watchShard struct {
	mu      sync.Mutex
	flights map[*flight]struct{}
}

func newWatcher() *watcher {
	w := &watcher{begun: make(chan struct{}, 1)}
	for i := range w.shards {
		w.shards[i].flights = make(map[*flight]struct{})
	}
	return w
}

func (w *watcher) shard(f *flight) *watchShard {
	return &w.shards[f.http.ConnID()%watchShards]
}

func (w *watcher) add(f *flight) {
	s := w.shard(f)
	s.mu.Lock()
	s.flights[f] = struct{}{}
	s.mu.Unlock()
	if w.active.Add(1) > 1 {
		return
	}
	select {
	case w.begun <- struct{}{}:
	default:
	}
}

func (w *watcher) remove(f *flight) {
	s := w.shard(f)
	s.mu.Lock()
	delete(s.flights, f)
	s.mu.Unlock()
	w.active.Add(-1)
}

// run sweeps until ctx ends. It sleeps while no request is in flight.
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
			w.shards[i].sweep(now(), round%probeRounds == 0)
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

// sleep waits until a request is in flight. It reports false if ctx ends first.
func (w *watcher) sleep(ctx context.Context) bool {
	for w.active.Load() == 0 {
		select {
		case <-ctx.Done():
			return false
		case <-w.begun:
		}
	}
	return true
}

// sweep ends the requests whose deadline has passed, the attempts whose owner
// was replaced and, if probe is set, the requests whose callers have left. Most
// requests end before the first probe.
func (s *watchShard) sweep(now clock.Time, probe bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f := range s.flights {
		switch {
		case !now.Before(f.deadline):
			f.ctx.end(errDeadline)
		case probe && connprobe.PeerClosed(f.http.Conn()):
			f.ctx.end(errCallerLeft)
		case f.replaced(now):
			f.ctx.end(errReplaced)
		}
	}
}

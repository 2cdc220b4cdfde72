package entry

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const watchShards = 16

// watcher looks for callers that have left: fasthttp reads nothing from a
// connection while its request is served.
type watcher struct {
	shards [watchShards]watchShard
}

type watchShard struct {
	mu      sync.Mutex
	flights map[*flight]bool // value: seen by the last sweep
}

func newWatcher() *watcher {
	w := &watcher{}
	for i := range w.shards {
		w.shards[i].flights = make(map[*flight]bool)
	}
	return w
}

func (w *watcher) shard(f *flight) *watchShard {
	return &w.shards[f.http.ConnID()%watchShards]
}

func (w *watcher) add(f *flight) {
	s := w.shard(f)
	s.mu.Lock()
	s.flights[f] = false
	s.mu.Unlock()
}

func (w *watcher) remove(f *flight) {
	s := w.shard(f)
	s.mu.Lock()
	delete(s.flights, f)
	s.mu.Unlock()
}

// run sweeps until ctx ends.
func (w *watcher) run(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for i := range w.shards {
			w.shards[i].sweep()
		}
	}
}

// sweep cancels the requests whose callers have left. Short requests end
// before they are looked at.
func (s *watchShard) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for f, seen := range s.flights {
		if !seen {
			s.flights[f] = true
			continue
		}
		if hasLeft(f.http.Conn()) {
			f.cancel(errCallerLeft)
		}
	}
}

// hasLeft reports whether the other end has closed the connection.
func hasLeft(conn net.Conn) bool {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		left = err == nil && n == 0 || err == unix.ECONNRESET
	})
	return left || err != nil
}

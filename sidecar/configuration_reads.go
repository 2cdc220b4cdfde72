package sidecar

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/metastore"
)

// configurationReads is the store as the configuration's follower reads it. It keeps
// whether the last read was answered.
type configurationReads struct {
	metastore.Store
	answered atomic.Bool
}

// Newest implements metastore.Store.
func (r *configurationReads) Newest(ctx context.Context, p metastore.Partition) (metastore.Batch, error) {
	b, err := r.Store.Newest(ctx, p)
	r.answered.Store(err == nil)
	return b, err
}

// Read implements metastore.Store. The first read after a failed one does not wait for a
// record, so that its answer shows soon that nothing was missed. A partition that ends
// before from was replaced by an older copy, so the read confirms nothing.
func (r *configurationReads) Read(ctx context.Context, p metastore.Partition, from metastore.Offset, wait time.Duration) (metastore.Batch, error) {
	if !r.answered.Load() {
		wait = 0
	}
	b, err := r.Store.Read(ctx, p, from, wait)
	r.answered.Store(err == nil && b.End >= from)
	return b, err
}

// peerWait is how long a new process waits for a status of another daemon, which names a
// version that the store may not show yet.
const peerWait = 5 * time.Second

// configurationConfirmed reports whether the daemon knows that the configuration of v is
// the newest one: the store answers, all rows were decoded, and no other daemon has named
// a newer version. Only then does the lack of a route mean that it does not exist.
func (d *Daemon) configurationConfirmed(v *view) bool {
	if v.configBehind || v.routes.Partial() || !d.configurationReads.answered.Load() {
		return false
	}
	return v.heardPeer || clock.Now().Sub(d.started) >= peerWait
}

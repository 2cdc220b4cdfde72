package sidecar

import (
	"runtime"
	"runtime/metrics"
	"sync"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// collector collects garbage before a large buffer is allocated that would take the heap over
// its limit. The limit of the runtime alone does not prevent that: the collection that it
// starts runs while the buffer is already in use.
type collector struct {
	limit int // bytes of the heap

	mu   sync.Mutex
	last clock.Time    // end of the last collection
	took time.Duration // by it
}

// collectFor collects garbage if the heap has no room for bytes. It does so for at most half of
// the time.
func (c *collector) collectFor(bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	now := clock.Now()
	if int(sample[0].Value.Uint64())+bytes <= c.limit || now.Sub(c.last) < c.took {
		return
	}
	runtime.GC()
	c.last = clock.Now()
	c.took = c.last.Sub(now)
}

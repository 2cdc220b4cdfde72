package sidecar

import (
	"runtime"
	"runtime/metrics"
	"sync"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// maxCollections is the number of collections that a large buffer waits for. One frees nearly
// all garbage, since others that would allocate much wait, too.
const maxCollections = 2

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
	for range maxCollections {
		if heapObjects()+bytes <= c.limit {
			return
		}
		begun := clock.Now()
		if pause := c.took - begun.Sub(c.last); pause > 0 {
			time.Sleep(pause)
			begun = clock.Now()
		}
		runtime.GC()
		c.last = clock.Now()
		c.took = c.last.Sub(begun)
	}
}

// heapObjects returns the bytes of objects on the heap, garbage included.
func heapObjects() int {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return int(sample[0].Value.Uint64())
}

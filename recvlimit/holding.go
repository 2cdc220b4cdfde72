package recvlimit

import (
	"container/list"
	"time"
)

// Holding is the part of a Pool that one message takes. A nil Holding belongs to no pool.
// It is safe for concurrent use.
type Holding struct {
	pool   *Pool
	source Source
	evict  func()

	// The fields below are protected by the lock of the pool.
	stats    *SourceStats
	bytes    int
	reserved int           // bytes that Shrink leaves
	element  *list.Element // of Pool.incomplete; nil once the message can't be evicted
	evicted  bool
	refused  bool
	released bool
}

// Grow raises the bytes that the message takes to total, and records that it has made
// progress; a total that is not above the present one records just that. It returns a
// *BudgetError, and leaves the bytes unchanged, if there is no room or if the message
// was evicted. It waits for a short time for evicted messages to be released.
func (h *Holding) Grow(total int) error { return h.growWithin(total, 0) }

// Await is Grow, but waits for room for up to a time. It is for messages that must not be
// refused lightly: responses to requests that were forwarded.
func (h *Holding) Await(total int, wait time.Duration) error { return h.growWithin(total, wait) }

// evictedWait is how long Grow waits until the owners of evicted messages have noticed, which
// takes milliseconds unless the machine is overloaded.
const evictedWait = 100 * time.Millisecond

func (h *Holding) growWithin(total int, wait time.Duration) error {
	a := h.tryGrow(total)
	if a.ok {
		return nil
	}
	begun := time.Now()
	for {
		limit := wait
		if a.soon {
			limit = max(limit, evictedWait)
		}
		left := limit - time.Since(begun)
		if a.final || left <= 0 || !awaitClosed(a.freed, left) {
			h.countRefusal()
			return &BudgetError{Source: h.source, Limit: h.pool.limit}
		}
		if a = h.tryGrow(total); a.ok {
			return nil
		}
	}
}

// awaitClosed waits until the channel is closed, and reports false if that takes longer than
// a time.
func awaitClosed(c <-chan struct{}, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-c:
		return true
	case <-timer.C:
		return false
	}
}

// Reserve is Grow for bytes that the message is expected to take: Shrink leaves them until
// Settle is called.
func (h *Holding) Reserve(total int) error {
	if err := h.Grow(total); err != nil || h.none() {
		return err
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.reserved = max(h.reserved, total)
	return nil
}

// Count sets the bytes that the message takes to total, whether or not there is room. It is
// for memory that is in use already: others are refused until there is room again.
func (h *Holding) Count(total int) {
	if h.none() {
		return
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	if !h.released {
		h.pool.add(h, total-h.bytes)
	}
}

// Shrink lowers the bytes that the message takes to total, for instance after a copy was
// freed.
func (h *Holding) Shrink(total int) {
	if h.none() {
		return
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	if total = max(total, h.reserved); total < h.bytes {
		h.pool.add(h, total-h.bytes)
	}
}

// Settle ends what Reserve has reserved, and lowers the bytes to total.
func (h *Holding) Settle(total int) {
	if h.none() {
		return
	}
	h.pool.mu.Lock()
	h.reserved = 0
	h.pool.mu.Unlock()
	h.Shrink(total)
}

// Complete marks the message as received; it is no longer evicted. If it was evicted
// before, Evicted reports so.
func (h *Holding) Complete() {
	if h.none() {
		return
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.leave()
}

// Evicted reports whether the message was evicted. After Complete the result does not
// change: a message that is not evicted then may be forwarded.
func (h *Holding) Evicted() bool {
	if h.none() {
		return false
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	return h.evicted
}

// Release returns the bytes. Further calls do nothing.
func (h *Holding) Release() {
	if h.none() {
		return
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	if h.released {
		return
	}
	h.leave()
	h.pool.add(h, -h.bytes)
	h.released = true
}

// none reports whether the message belongs to no pool.
func (h *Holding) none() bool { return h == nil || h.pool == nil }

// attempt is the result of an attempt to grow.
type attempt struct {
	ok    bool
	final bool            // there will never be room
	soon  bool            // there is room once evicted messages have been released
	freed <-chan struct{} // closed when bytes are returned
}

func (h *Holding) tryGrow(total int) (a attempt) {
	if h.none() {
		return attempt{ok: true}
	}
	p := h.pool
	p.mu.Lock()
	more := total - h.bytes
	victims := h.tryGrowLocked(total, &a)
	p.mu.Unlock()
	for _, victim := range victims {
		victim.evict()
	}
	if a.ok && more > largeStep && p.beforeLarge != nil {
		p.beforeLarge(more)
	}
	return a
}

func (h *Holding) tryGrowLocked(total int, a *attempt) (victims []*Holding) {
	if h.evicted || h.released || total > h.pool.limit {
		a.final = true
		return nil
	}
	if h.element != nil {
		h.pool.incomplete.MoveToBack(h.element)
	}
	if total <= h.bytes {
		a.ok = true
		return nil
	}
	victims, a.ok, a.soon = h.pool.reserve(h, total-h.bytes)
	if !a.ok {
		a.freed = h.pool.nextFreed()
	}
	return victims
}

// countRefusal counts a message that is refused bytes, unless it was evicted.
func (h *Holding) countRefusal() {
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	if !h.refused && !h.evicted {
		h.refused = true
		h.stats.Refused++
	}
}

// leave removes the message from those that can be evicted. The caller holds the lock.
func (h *Holding) leave() {
	if h.element == nil {
		return
	}
	h.pool.incomplete.Remove(h.element)
	h.pool.evictable -= h.bytes
	h.element = nil
}

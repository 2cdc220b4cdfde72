package recvlimit

import "container/list"

// Holding is the part of a Pool that one message takes. It is safe for concurrent use.
type Holding struct {
	pool   *Pool
	source Source
	evict  func()

	// The fields below are protected by the lock of the pool.
	stats    *SourceStats
	bytes    int
	element  *list.Element // of Pool.incomplete; nil once the message can't be evicted
	evicted  bool
	refused  bool
	released bool
}

// Grow raises the bytes that the message takes to total, and records that it has made
// progress; a total that is not above the present one records just that. It returns a
// *BudgetError, and leaves the bytes unchanged, if there is no room or if the message
// was evicted.
func (h *Holding) Grow(total int) error {
	p := h.pool
	if p == nil {
		return nil
	}
	p.mu.Lock()
	victims, ok := h.grow(total)
	p.mu.Unlock()
	for _, victim := range victims {
		victim.evict()
	}
	if !ok {
		return &BudgetError{Source: h.source, Limit: p.limit}
	}
	return nil
}

func (h *Holding) grow(total int) ([]*Holding, bool) {
	if h.evicted || h.released {
		return nil, false
	}
	if h.element != nil {
		h.pool.incomplete.MoveToBack(h.element)
	}
	if total <= h.bytes {
		return nil, true
	}
	victims, ok := h.pool.reserve(h, total-h.bytes)
	if !ok && !h.refused {
		h.refused = true
		h.stats.Refused++
	}
	return victims, ok
}

// Shrink lowers the bytes that the message takes to total, for instance after a copy was
// freed.
func (h *Holding) Shrink(total int) {
	if h.pool == nil {
		return
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	if total < h.bytes {
		h.pool.add(h, total-h.bytes)
	}
}

// Complete marks the message as received; it is no longer evicted. If it was evicted
// before, Evicted reports so.
func (h *Holding) Complete() {
	if h.pool == nil {
		return
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	h.leave()
}

// Evicted reports whether the message was evicted. After Complete the result does not
// change: a message that is not evicted then may be forwarded.
func (h *Holding) Evicted() bool {
	if h.pool == nil {
		return false
	}
	h.pool.mu.Lock()
	defer h.pool.mu.Unlock()
	return h.evicted
}

// Release returns the bytes. Further calls do nothing.
func (h *Holding) Release() {
	if h.pool == nil {
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

// leave removes the message from those that can be evicted. The caller holds the lock.
func (h *Holding) leave() {
	if h.element == nil {
		return
	}
	h.pool.incomplete.Remove(h.element)
	h.pool.evictable -= h.bytes
	h.element = nil
}

package lease

import (
	"sync"
	"sync/atomic"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/keyspace"
)

// Table holds the grants of the local process. Store must be called only by the
// goroutine that owns the control state; all other methods are safe for
// concurrent use.
type Table struct {
	now        func() clock.Time
	current    atomic.Pointer[snapshot]
	numWaiters atomic.Int32 // len(waiters), so that Release reads it without mu

	mu       sync.Mutex
	counters map[grantKey]*counter // current holdings, and past ones with requests in flight
	waiters  []waiter
}

// waiter is a pending call of Quiesce.
type waiter struct {
	r    keyspace.Range
	done func()
}

// NewTable returns a table without grants that uses now as its clock.
func NewTable(now func() clock.Time) *Table {
	t := &Table{now: now, counters: make(map[grantKey]*counter)}
	t.current.Store(&snapshot{})
	return t
}

// Store replaces all holdings. An Acquire that starts after Store has returned
// uses the new holdings. The ranges of holdings must not overlap.
func (t *Table) Store(holdings []cell.Holding) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	last := t.current.Load()
	entries := make([]entry, 0, len(holdings))
	held := make(map[grantKey]bool, len(holdings))
	for _, h := range holdings {
		key := grantKey{r: h.Grant.Range, token: h.Grant.Token}
		held[key] = true
		entries = append(entries, entry{holding: h, heldSince: last.heldSince(h.Grant.Range, now), counter: t.counter(key)})
	}
	t.current.Store(newSnapshot(entries))
	t.dropUnused(held)
}

func (t *Table) counter(key grantKey) *counter {
	c := t.counters[key]
	if c == nil {
		c = &counter{key: key}
		t.counters[key] = c
	}
	return c
}

// dropUnused removes the counters of past grants without requests in flight.
func (t *Table) dropUnused(held map[grantKey]bool) {
	for key, c := range t.counters {
		if !held[key] && c.inFlight.Load() == 0 {
			delete(t.counters, key)
		}
	}
}

// Check returns the grant that covers p, the expiry of its lease, and whether p
// may be served at now. It does not allocate.
func (t *Table) Check(p keyspace.Point, now clock.Time) (cell.Grant, clock.Time, Verdict) {
	e := t.current.Load().find(p)
	if e == nil {
		return cell.Grant{}, clock.Never, NotHeld
	}
	return e.holding.Grant, e.holding.Expires, e.verdict(now)
}

// Acquire checks p as Check does and, if it is held, counts a request in
// flight until the Use is released.
func (t *Table) Acquire(p keyspace.Point, now clock.Time) (Use, Verdict) {
	for {
		s := t.current.Load()
		use, verdict, stale := t.acquire(s, s.find(p), p, now)
		if !stale {
			return use, verdict
		}
	}
}

// AcquireAny is like Acquire, for a request without a key, which may run under
// any held grant.
func (t *Table) AcquireAny(now clock.Time) (Use, Verdict) {
	for {
		s := t.current.Load()
		e := s.longestHeld(now)
		if e == nil {
			return Use{}, NotHeld
		}
		use, verdict, stale := t.acquire(s, e, e.holding.Grant.Range.First, now)
		if !stale {
			return use, verdict
		}
	}
}

// acquire counts a request in flight under e. It returns true as its last result
// if the snapshot was replaced in the meantime: Quiesce may then already have
// read the counter as zero, so the request is not counted and the caller must
// try again with the new snapshot.
func (t *Table) acquire(s *snapshot, e *entry, p keyspace.Point, now clock.Time) (Use, Verdict, bool) {
	if e == nil {
		return Use{}, NotHeld, false
	}
	if v := e.verdict(now); v != Held {
		return Use{}, v, false
	}
	e.counter.inFlight.Add(1)
	use := Use{Point: p, HeldSince: e.heldSince, acquiredAt: now, table: t, counter: e.counter}
	if t.current.Load() != s {
		use.Release()
		return Use{}, NotHeld, true
	}
	return use, Held, false
}

// InFlight returns the number of requests in flight under grants that overlap r.
func (t *Table) InFlight(r keyspace.Range) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight(r)
}

func (t *Table) inFlight(r keyspace.Range) int64 {
	var n int64
	for key, c := range t.counters {
		if key.r.Overlaps(r) {
			n += c.inFlight.Load()
		}
	}
	return n
}

// Quiesce calls done once no request is in flight under a grant that overlaps
// r, before it returns if there is none already. The caller must first have
// stored holdings under which no new request in r is admitted. done must not
// call methods of the table.
func (t *Table) Quiesce(r keyspace.Range, done func()) {
	t.mu.Lock()
	t.waiters = append(t.waiters, waiter{r: r, done: done})
	t.numWaiters.Store(int32(len(t.waiters)))
	t.mu.Unlock()
	t.notify()
}

// notify calls and removes the waiters whose range has no request in flight.
func (t *Table) notify() {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := t.waiters[:0]
	for _, w := range t.waiters {
		if t.inFlight(w.r) > 0 {
			kept = append(kept, w)
			continue
		}
		w.done()
	}
	clear(t.waiters[len(kept):])
	t.waiters = kept
	t.numWaiters.Store(int32(len(kept)))
}

// Holdings returns a copy of the current holdings, ordered by range.
func (t *Table) Holdings() []cell.Holding {
	s := t.current.Load()
	holdings := make([]cell.Holding, len(s.entries))
	for i := range s.entries {
		holdings[i] = s.entries[i].holding
	}
	return holdings
}

package lease

import (
	"sync"
	"sync/atomic"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/keyspace"
)

// Table holds the grants of the local process. Store is called by the
// goroutine that owns the control state; all other methods may be called by
// any goroutine.
type Table struct {
	now     func() clock.Time
	current atomic.Pointer[snapshot]
	waiting atomic.Int32 // number of waiters

	mu       sync.Mutex
	counters map[grantKey]*counter // of current holdings and of past ones with work in flight
	waiters  []waiter
}

// waiter is a pending call of Quiesce.
type waiter struct {
	r    keyspace.Range
	done func()
}

// NewTable returns a table without grants that reads the time by now.
func NewTable(now func() clock.Time) *Table {
	t := &Table{now: now, counters: make(map[grantKey]*counter)}
	t.current.Store(&snapshot{})
	return t
}

// Store replaces all holdings. When it returns, no later Acquire sees an
// older table. The ranges of holdings must not overlap.
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
		entries = append(entries, entry{holding: h, since: last.since(h.Grant.Range, now), count: t.counter(key)})
	}
	t.current.Store(newSnapshot(entries))
	t.forget(held)
}

func (t *Table) counter(key grantKey) *counter {
	c := t.counters[key]
	if c == nil {
		c = &counter{key: key}
		t.counters[key] = c
	}
	return c
}

// forget drops the counters of past grants without work in flight.
func (t *Table) forget(held map[grantKey]bool) {
	for key, c := range t.counters {
		if !held[key] && c.inFlight.Load() == 0 {
			delete(t.counters, key)
		}
	}
}

// Check returns the grant that covers p, the end of its lease, and whether p
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

// AcquireAny is Acquire for a request that any held range may run.
func (t *Table) AcquireAny(now clock.Time) (Use, Verdict) {
	for {
		s := t.current.Load()
		e := s.any(now)
		if e == nil {
			return Use{}, NotHeld
		}
		use, verdict, stale := t.acquire(s, e, e.holding.Grant.Range.First, now)
		if !stale {
			return use, verdict
		}
	}
}

// acquire counts a request under e. It reports stale if the table was
// replaced meanwhile: the count may then have been read as zero already.
func (t *Table) acquire(s *snapshot, e *entry, p keyspace.Point, now clock.Time) (Use, Verdict, bool) {
	if e == nil {
		return Use{}, NotHeld, false
	}
	if v := e.verdict(now); v != Held {
		return Use{}, v, false
	}
	e.count.inFlight.Add(1)
	use := Use{Point: p, HeldSince: e.since, acquired: now, table: t, count: e.count}
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
// r; at once if there is none. Store must have put a table in force before
// that admits no new request of r. done must not call the table.
func (t *Table) Quiesce(r keyspace.Range, done func()) {
	t.mu.Lock()
	t.waiters = append(t.waiters, waiter{r: r, done: done})
	t.waiting.Store(int32(len(t.waiters)))
	t.mu.Unlock()
	t.notify()
}

// notify runs the waiters whose range has no request in flight.
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
	t.waiting.Store(int32(len(kept)))
}

// Holdings returns a copy of the current holdings by range.
func (t *Table) Holdings() []cell.Holding {
	s := t.current.Load()
	holdings := make([]cell.Holding, len(s.entries))
	for i := range s.entries {
		holdings[i] = s.entries[i].holding
	}
	return holdings
}

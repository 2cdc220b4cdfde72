package recvlimit

import "sync/atomic"

// Source is the kind of sender whose messages share a budget.
type Source string

// Sources of messages.
const (
	Caller Source = "caller"
	Daemon Source = "daemon"
	Target Source = "target"
	Store  Source = "store"
)

// FreeBytes is the size up to which a message takes nothing from the budget, so that
// small messages are received while large ones exhaust it.
const FreeBytes = 64 << 10

// Budget bounds the number of bytes that messages of one source take together. A nil
// Budget has no limit. It is safe for concurrent use.
type Budget struct {
	source Source
	limit  int64 // bytes
	used   atomic.Int64
}

// NewBudget returns a budget of limit bytes.
func NewBudget(source Source, limit int) *Budget { return &Budget{source: source, limit: int64(limit)} }

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int {
	if b == nil {
		return 0
	}
	return int(b.used.Load())
}

func (b *Budget) reserve(n int) error {
	if b.used.Add(int64(n)) > b.limit {
		b.used.Add(-int64(n))
		return &BudgetError{Source: b.source, Limit: int(b.limit)}
	}
	return nil
}

// Reservation is the part of a budget that one message takes. It is not safe for
// concurrent use.
type Reservation struct {
	budget *Budget
	bytes  int
}

// NewReservation returns a reservation of no bytes.
func NewReservation(b *Budget) Reservation { return Reservation{budget: b} }

// Grow extends the reservation to a message of size bytes. It returns a *BudgetError,
// and leaves the reservation unchanged, if the budget is exhausted.
func (r *Reservation) Grow(size int) error {
	more := size - FreeBytes - r.bytes
	if r.budget == nil || more <= 0 {
		return nil
	}
	if err := r.budget.reserve(more); err != nil {
		return err
	}
	r.bytes += more
	return nil
}

// Release returns the bytes to the budget. A second call does nothing.
func (r *Reservation) Release() {
	if r.bytes > 0 {
		r.budget.used.Add(-int64(r.bytes))
		r.bytes = 0
	}
}

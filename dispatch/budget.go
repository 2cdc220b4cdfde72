package dispatch

import "sync/atomic"

const (
	budgetUnit  = 1000 // tokens of one retry
	budgetBurst = 100  // capacity in retries, about the requests in flight at a target when it fails
)

// Budget is a token bucket that limits retries to a fraction of first attempts.
// The zero Budget is full. Its methods are safe for concurrent use.
type Budget struct {
	spent  atomic.Int64 // tokens missing from the full budget
	denied atomic.Uint64
}

// Earn credits one first attempt; ratio is the number of retries allowed per
// first attempt.
func (b *Budget) Earn(ratio float64) {
	earned := int64(ratio * budgetUnit)
	for {
		spent := b.spent.Load()
		if spent == 0 || b.spent.CompareAndSwap(spent, max(spent-earned, 0)) {
			return
		}
	}
}

// Spend takes one retry from the budget. It returns false if none is left.
func (b *Budget) Spend() bool {
	for {
		spent := b.spent.Load()
		if spent+budgetUnit > budgetBurst*budgetUnit {
			b.denied.Add(1)
			return false
		}
		if b.spent.CompareAndSwap(spent, spent+budgetUnit) {
			return true
		}
	}
}

// Denied returns the number of retries that Spend has refused.
func (b *Budget) Denied() uint64 { return b.denied.Load() }

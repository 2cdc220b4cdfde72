package dispatch

import "sync/atomic"

const (
	budgetUnit  = 1000 // tokens of one retry
	budgetBurst = 100  // retries that can be saved up, about the work in flight at a lost target
)

// Budget bounds retries to a share of first attempts. Its methods may be
// called by any goroutine.
type Budget struct {
	spent  atomic.Int64 // tokens below the full budget
	denied atomic.Uint64
}

// Earn adds the share of a retry that one first attempt allows.
func (b *Budget) Earn(ratio float64) {
	earned := int64(ratio * budgetUnit)
	for {
		spent := b.spent.Load()
		if spent == 0 || b.spent.CompareAndSwap(spent, max(spent-earned, 0)) {
			return
		}
	}
}

// Spend takes one retry. It reports false if none is left.
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

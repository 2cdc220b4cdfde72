package resend

import (
	"math"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

const (
	// budgetShare is the share of the operator's limit that is used. The rest
	// covers the delay with which daemons see changes of each other.
	budgetShare = 0.7
	// budgetBuckets is the number of buckets of the sliding window.
	budgetBuckets = 10
)

// Limits is the operator's limit on resends for one service. In any window, all
// daemons together may resend at most Ratio times the number of requests, plus
// Slack.
type Limits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budget is one daemon's share of the resends to one service. Each daemon counts
// its own requests and uses an equal share of the slack, so that the limit on
// the sum holds without a coordinator. A Budget must be used by one goroutine at
// a time.
type Budget struct {
	limits  Limits
	buckets [budgetBuckets]bucket
}

type bucket struct {
	number   int64 // index since the start of the clock
	requests float64
	resent   float64
}

// NewBudget returns an unused budget.
func NewBudget(l Limits) *Budget { return &Budget{limits: l} }

func (b *Budget) bucketAt(now clock.Time) *bucket {
	n := int64(now) / int64(b.limits.Window/budgetBuckets)
	s := &b.buckets[n%budgetBuckets]
	if s.number != n {
		*s = bucket{number: n}
	}
	return s
}

// Request counts the first send of a request.
func (b *Budget) Request(now clock.Time) { b.bucketAt(now).requests++ }

// Spend takes one resend from the budget; daemons is the number of daemons that
// share it. It reports false, and takes nothing, if the budget is exhausted.
func (b *Budget) Spend(now clock.Time, daemons int) bool {
	s := b.bucketAt(now)
	requests, resent := 0.0, 0.0
	for i := range b.buckets {
		if s.number-b.buckets[i].number < budgetBuckets {
			requests += b.buckets[i].requests
			resent += b.buckets[i].resent
		}
	}
	slack := b.limits.Slack / math.Max(float64(daemons), 1)
	if resent+1 > budgetShare*(b.limits.Ratio*requests+slack) {
		return false
	}
	s.resent++
	return true
}

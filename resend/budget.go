package resend

import (
	"math"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

const (
	// budgetShare is the part of what the operator allows that is used. The rest
	// covers what daemons see of each other late.
	budgetShare = 0.7
	// budgetSteps is the number of parts in which the window moves.
	budgetSteps = 10
)

// Limits is what the operator allows to one service: in any window at most
// Ratio times the requests, plus Slack, may be sent once more, over all
// daemons.
type Limits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budget is one daemon's part of the second sends to one service. Each daemon
// counts its own requests and takes an equal part of the slack, so that the sum
// holds without a coordinator. It belongs to one goroutine at a time.
type Budget struct {
	limits Limits
	steps  [budgetSteps]step
}

type step struct {
	number   int64 // of the step since the clock's start
	requests float64
	resent   float64
}

// NewBudget returns an unused budget.
func NewBudget(l Limits) *Budget { return &Budget{limits: l} }

func (b *Budget) step(now clock.Time) *step {
	n := int64(now) / int64(b.limits.Window/budgetSteps)
	s := &b.steps[n%budgetSteps]
	if s.number != n {
		*s = step{number: n}
	}
	return s
}

// Request counts a first send.
func (b *Budget) Request(now clock.Time) { b.step(now).requests++ }

// Spend takes a second send from the budget; daemons is the number of daemons
// that share it. It reports false if nothing is left.
func (b *Budget) Spend(now clock.Time, daemons int) bool {
	s := b.step(now)
	requests, resent := 0.0, 0.0
	for i := range b.steps {
		if s.number-b.steps[i].number < budgetSteps {
			requests += b.steps[i].requests
			resent += b.steps[i].resent
		}
	}
	slack := b.limits.Slack / math.Max(float64(daemons), 1)
	if resent+1 > budgetShare*(b.limits.Ratio*requests+slack) {
		return false
	}
	s.resent++
	return true
}

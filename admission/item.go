package admission

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/outcome"
)

// Flow groups the requests that share a fair part of the target: those of one
// key, or those of one sender where there is no key.
type Flow uint64

// Item is one request.
type Item struct {
	ID       uint64
	Flow     Flow
	Priority uint8 // lower values are refused first
	Deadline clock.Time
}

// Refusal is an item that will not run. It is answered at once.
type Refusal struct {
	ID         uint64
	Reason     outcome.Reason
	RetryAfter time.Duration
}

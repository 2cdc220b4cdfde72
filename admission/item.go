package admission

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/outcome"
)

// Flow identifies the requests that are scheduled as one unit for fairness:
// those of one key, or those of one sender if they have no key.
type Flow uint64

// Item is one request.
type Item struct {
	ID       uint64
	Flow     Flow
	Priority uint8 // lower values are refused first
	Deadline clock.Time
}

// Refusal is a request that is answered immediately without being run.
type Refusal struct {
	ID         uint64
	Reason     outcome.Reason
	RetryAfter time.Duration
}

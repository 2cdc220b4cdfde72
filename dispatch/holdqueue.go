package dispatch

import (
	"slices"

	"github.com/parsleystack/parsleystack/clock"
)

// Held is one request in a HoldQueue.
type Held struct {
	ID       uint64
	Deadline clock.Time
}

// HoldQueue is a bounded queue, ordered by deadline, of the requests that wait
// for a new owner. If it is full, the request with the latest deadline is
// evicted, since its caller has the most time to retry. It is not safe for
// concurrent use.
type HoldQueue struct {
	limit int
	items []Held // by Deadline
}

// NewHoldQueue returns a queue of at most limit requests.
func NewHoldQueue(limit int) *HoldQueue { return &HoldQueue{limit: limit} }

// Len returns the number of queued requests.
func (q *HoldQueue) Len() int { return len(q.items) }

// Add adds a request. If the queue is full, it returns true and the evicted
// request, which may be the new one.
func (q *HoldQueue) Add(h Held) (refused Held, full bool) {
	i, _ := slices.BinarySearchFunc(q.items, h, func(a, b Held) int {
		if a.Deadline <= b.Deadline {
			return -1
		}
		return 1
	})
	q.items = slices.Insert(q.items, i, h)
	if len(q.items) <= q.limit {
		return Held{}, false
	}
	last := len(q.items) - 1
	refused = q.items[last]
	q.items = q.items[:last]
	return refused, true
}

// Remove removes the request with the given ID, if it is queued.
func (q *HoldQueue) Remove(id uint64) {
	q.items = slices.DeleteFunc(q.items, func(h Held) bool { return h.ID == id })
}

// Take empties the queue and returns its requests by deadline. The result is
// valid until the next Add.
func (q *HoldQueue) Take() []Held {
	items := q.items
	q.items = q.items[len(q.items):]
	return items
}

package pipeline

import "github.com/parsleystack/parsleystack/clock"

// state is the progress of one request.
type state uint8

const (
	waiting state = iota // read, not begun
	begun
	answered // its response is ready
)

type entry[T any] struct {
	Request
	value T
	state state
}

// Queue holds the requests of one connection that have no written response, in the order in
// which they were read, each with a value of its owner's.
type Queue[T any] struct {
	limits  Limits
	entries []entry[T]
	first   uint64 // number of the first entry; requests are numbered in order
	bytes   int
	writing int  // entries whose responses are being written
	last    bool // the response to the last entry closes the connection
	drains  bool // the response to the last request that was begun closes the connection
	closed  bool // that response is being written, or the connection has failed
	failed  bool // Fail was called
}

// NewQueue returns an empty queue.
func NewQueue[T any](l Limits) Queue[T] { return Queue[T]{limits: l} }

// Len returns the number of requests without a written response.
func (q *Queue[T]) Len() int { return len(q.entries) }

// Closed reports whether no further response is written.
func (q *Queue[T]) Closed() bool { return q.closed }

// Failed reports whether Fail was called.
func (q *Queue[T]) Failed() bool { return q.failed }

// First reports whether the response to a request is the next one to be written.
func (q *Queue[T]) First(number uint64) bool { return number == q.first }

// MayRead reports whether a further request may be read now. It may later if requests are in
// progress and Ended reports false.
func (q *Queue[T]) MayRead() bool {
	return !q.Ended() && len(q.entries) < q.limits.Requests && q.MayHold(0)
}

// Ended reports whether no further request is read.
func (q *Queue[T]) Ended() bool { return q.closed || q.last || q.drains && len(q.entries) > 0 }

// MayHold reports whether a body of n bytes that is being read may be held beside the requests
// in progress.
func (q *Queue[T]) MayHold(n int) bool {
	return len(q.entries) == 0 || q.bytes+n <= q.limits.Bytes
}

// Add adds a request that has been read and returns its number. It reports false if no response
// to it can be written any more, so that it counts as not read.
func (q *Queue[T]) Add(v T, r Request) (number uint64, ok bool) {
	if q.closed || q.last {
		return 0, false
	}
	e := entry[T]{Request: r, value: v}
	if r.Answered {
		e.state = answered
	}
	q.entries = append(q.entries, e)
	q.bytes += r.Bytes
	q.last = r.Last
	return q.first + uint64(len(q.entries)) - 1, true
}

// Waiting reports whether requests have not been begun.
func (q *Queue[T]) Waiting() bool {
	for i := range q.entries {
		if q.entries[i].state == waiting {
			return true
		}
	}
	return false
}

// Begin returns the next request to begin, until there is none. A request whose deadline has
// passed is returned as expired: it is refused instead of being run. Both are ended by Answered.
func (q *Queue[T]) Begin(now clock.Time) (v T, number uint64, expired, ok bool) {
	if q.closed {
		return v, 0, false, false
	}
	for i := range q.entries {
		e := &q.entries[i]
		if e.state != waiting {
			continue
		}
		expired = !now.Before(e.Deadline)
		if expired || e.Idempotent || i == 0 {
			e.state = begun
			return e.value, q.first + uint64(i), expired, true
		}
	}
	return v, 0, false, false
}

// Answered records that the response to a request is ready, with a body of bytes. closes
// states that the connection should close after it.
func (q *Queue[T]) Answered(number uint64, bytes int, closes bool) {
	e := &q.entries[number-q.first]
	e.state = answered
	e.Bytes += bytes
	q.bytes += bytes
	q.drains = q.drains || closes
}

// Drain makes the connection close after the response to the last request that has been begun.
func (q *Queue[T]) Drain() { q.drains = true }

// Write returns the values of the requests whose responses are to be written now, in order,
// and whether the connection closes after the last of them. It returns none while others are
// being written; Written ends that.
func (q *Queue[T]) Write(values []T) (_ []T, closes bool) {
	if q.closed || q.writing > 0 {
		return values, false
	}
	for i := range q.entries {
		if q.entries[i].state != answered {
			break
		}
		values = append(values, q.entries[i].value)
		q.writing++
		if q.closes(i) {
			q.closed = true
			break
		}
	}
	return values, q.closed
}

// closes reports whether the connection closes after the response to entry i.
func (q *Queue[T]) closes(i int) bool {
	if q.last && i == len(q.entries)-1 {
		return true
	}
	if !q.drains {
		return false
	}
	for _, e := range q.entries[i+1:] {
		if e.state != waiting {
			return false
		}
	}
	return true
}

// Written records that the responses returned by Write have been written.
func (q *Queue[T]) Written() {
	for _, e := range q.entries[:q.writing] {
		q.bytes -= e.Bytes
	}
	n := copy(q.entries, q.entries[q.writing:])
	clear(q.entries[n:])
	q.entries = q.entries[:n]
	q.first += uint64(q.writing)
	q.writing = 0
}

// Fail ends the connection: no response is written and no request is begun any more. It appends
// the values of the requests that are neither running nor being written to a slice. Those that
// run are left to the owner when they end.
func (q *Queue[T]) Fail(values []T) []T {
	q.closed = true
	if q.failed {
		return values
	}
	q.failed = true
	for _, e := range q.entries[q.writing:] {
		if e.state != begun {
			values = append(values, e.value)
		}
	}
	return values
}

// Each calls f for the value of each request that has no response yet.
func (q *Queue[T]) Each(f func(T)) {
	for i := range q.entries {
		if q.entries[i].state != answered {
			f(q.entries[i].value)
		}
	}
}

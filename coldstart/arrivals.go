package coldstart

import (
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// arrivals counts the requests that may have arrived within the last second. A request
// arrives between when it is written and when it is confirmed: the target accepts
// connections and reads requests in their order, so a response to a request confirms all
// that were written before it. If each request is started only while the count is below a
// number, no more than that number arrive within any second, however long they take.
type arrivals struct {
	max      int      // number from which on the count does not matter
	starting []uint64 // requests that are started and not written
	sends    []send   // the newest, at most max, in the order in which they were written
}

// setMax sets the largest number of requests that is of interest; 0 if none is.
func (a *arrivals) setMax(n int) {
	a.max = n
	a.sends = a.sends[max(len(a.sends)-n, 0):]
	if n == 0 {
		a.starting = a.starting[:0]
	}
}

// prune removes the sends that no longer count.
func (a *arrivals) prune(now clock.Time) {
	n := 0
	for n < len(a.sends) && !a.sends[n].counts(now) {
		n++
	}
	a.sends = slices.Delete(a.sends, 0, n)
}

// wait returns the time until n more requests may be started, if all requests in progress
// are confirmed now.
func (a *arrivals) wait(n int, now clock.Time) time.Duration {
	a.prune(now)
	tooMany := len(a.starting) + len(a.sends) + n - a.max
	switch {
	case tooMany <= 0:
		return 0
	case tooMany > len(a.sends): // some of these n, or of those that are not written, must leave, too
		return time.Duration(1+tooMany/a.max) * window
	}
	return max(a.sends[tooMany-1].leaves(now).Sub(now), 1)
}

func (a *arrivals) start(id uint64) {
	if a.max > 0 {
		a.starting = append(a.starting, id)
	}
}

// write records that a started request is written.
func (a *arrivals) write(id uint64, now clock.Time) {
	if !a.end(id) {
		return
	}
	a.prune(now)
	if len(a.sends) >= a.max {
		a.sends = slices.Delete(a.sends, 0, len(a.sends)-a.max+1)
	}
	a.sends = append(a.sends, send{id: id, written: now})
}

// end removes a request that was not written. It reports false if it was written.
func (a *arrivals) end(id uint64) bool {
	i := slices.Index(a.starting, id)
	if i < 0 {
		return false
	}
	a.starting = slices.Delete(a.starting, i, i+1)
	return true
}

// answered records that a response to a request was received. It returns when the request was
// written, and false if that is not known any more.
func (a *arrivals) answered(id uint64, now clock.Time) (written clock.Time, ok bool) {
	i := slices.IndexFunc(a.sends, func(s send) bool { return s.id == id })
	if i < 0 {
		return clock.Never, false
	}
	written = a.sends[i].written
	a.confirm(written, now)
	return written, true
}

// confirm records that all requests written up to a time have arrived.
func (a *arrivals) confirm(written, now clock.Time) {
	for i := range a.sends {
		if s := &a.sends[i]; s.written <= written && s.confirmed == clock.Never {
			s.confirmed = now
		}
	}
}

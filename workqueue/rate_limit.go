package workqueue

import (
	"math"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// pacedReserveTime is the time whose more urgent arrivals are reserved for in a rate limit.
const pacedReserveTime = 300 * time.Millisecond

// SetRateLimit sets the number of requests a second that the target accepts. It returns
// the items to start and to refuse now, as Finish does.
func (q *Queue) SetRateLimit(perSecond float64, now clock.Time) ([]uint64, []Refusal) {
	q.pacer.SetLimit(perSecond, now)
	return q.advance(now)
}

// RemoveRateLimit withdraws the limit of SetRateLimit. It returns the items to start and
// to refuse now, as Finish does.
func (q *Queue) RemoveRateLimit(now clock.Time) ([]uint64, []Refusal) {
	q.pacer.Unlimit()
	return q.advance(now)
}

// RateLimited reports whether the target has a rate limit.
func (q *Queue) RateLimited() bool { return q.pacer.Limited() }

// NextStart returns the time until the rate limit lets the next waiting item start, and
// false if no item waits for that. Advance must be called then.
func (q *Queue) NextStart(now clock.Time) (time.Duration, bool) {
	if len(q.waiting) == 0 {
		return 0, false
	}
	wait := q.pacedWait(&q.waiting[0], 0, now)
	return wait, wait > 0
}

// Occupancy returns the load of the target for a comparison with others: the running items
// and the number that it can run concurrently, which by Little's law is its rate limit, or
// that of its cold start, times the mean service time. While the limit lets no item start,
// all slots count as occupied.
func (q *Queue) Occupancy(now clock.Time) (occupied, slots int) {
	rate, limited := q.pacedRate(now)
	if !limited {
		return len(q.running), q.limit
	}
	slots = min(q.limit, max(int(math.Ceil(rate*q.estimator.meanWork(now))), 1))
	if q.pacedReady(now) {
		return len(q.running), slots
	}
	return max(len(q.running), slots), slots
}

// pacedWait returns the time until the rate limit, and the cold start of the target, let an
// item start after some others, if nothing arrives meanwhile. A part of the requests that may
// be sent at once is reserved for more urgent arrivals.
func (q *Queue) pacedWait(item *Item, ahead int, now clock.Time) time.Duration {
	cold := q.coldWait(item, ahead, now)
	if !q.pacer.Limited() {
		return cold
	}
	reserved := min(q.estimator.moreUrgentRequests(item.urgency())*pacedReserveTime.Seconds(), (q.pacer.Burst()-1)*maxReservedShare)
	return max(q.pacer.Wait(float64(ahead+1)+reserved, now), cold)
}

// expectedPacedWait estimates the time until the rate limit lets an item start that arrives
// now.
func (q *Queue) expectedPacedWait(item *Item, now clock.Time) time.Duration {
	ahead := 0
	for i := range q.waiting {
		if q.waiting[i].before(item) {
			ahead++
		}
	}
	wait := q.pacedWait(item, ahead, now).Seconds()
	if wait > 0 {
		rate, _ := q.pacedRate(now)
		wait *= q.estimator.pacedWaitFactor(item, rate)
	}
	return time.Duration(min(wait, maxWaitSeconds) * float64(time.Second))
}

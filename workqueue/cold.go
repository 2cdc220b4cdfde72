package workqueue

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/coldstart"
)

// PaceCold makes all items pass the tracker of the target's cold start. Later queues for new
// incarnations of the target use it, too.
func (q *Queue) PaceCold(t *coldstart.Tracker) { q.cold = t }

// coldPaced reports whether items are paced because the target is cold.
func (q *Queue) coldPaced(now clock.Time) bool { return q.cold != nil && q.cold.Pacing(now) }

// coldWait returns the time until the target, if it is cold, gets an item after some others.
// A part of what it gets at once is reserved for more urgent arrivals.
func (q *Queue) coldWait(item *Item, ahead int, now clock.Time) time.Duration {
	if !q.coldPaced(now) {
		return 0
	}
	reserved := min(q.estimator.moreUrgentRequests(item.urgency())*pacedReserveTime.Seconds(), (q.cold.Burst()-1)*maxReservedShare)
	return q.cold.Wait(float64(ahead+1)+reserved, now)
}

// pacedRate returns the requests a second that the target gets by its rate limit and, if it is
// cold, by its cold start. It reports false if there is no limit.
func (q *Queue) pacedRate(now clock.Time) (perSecond float64, limited bool) {
	perSecond, limited = q.pacer.Rate(), q.pacer.Limited()
	if q.coldPaced(now) && (!limited || q.cold.Rate() < perSecond) {
		perSecond, limited = q.cold.Rate(), true
	}
	return perSecond, limited
}

// pacedReady reports whether the limits let an item start now.
func (q *Queue) pacedReady(now clock.Time) bool {
	return q.pacer.Ready(now) && (!q.coldPaced(now) || q.cold.Wait(1, now) == 0)
}

// CheckWait returns the time until the limits of the target let a health check be sent. It takes
// no slot.
func (q *Queue) CheckWait(now clock.Time) time.Duration {
	wait := q.pacer.Wait(1, now)
	if q.cold != nil {
		wait = max(wait, q.cold.CheckWait(now))
	}
	return wait
}

// StartCheck records that a health check is sent, under an id that no item has.
func (q *Queue) StartCheck(id uint64, now clock.Time) {
	q.pacer.Take(now)
	q.coldStarted(id, now)
}

func (q *Queue) coldStarted(id uint64, now clock.Time) {
	if q.cold != nil {
		q.cold.Start(id, now)
	}
}

// coldEnded records the end of an item for the pace of a cold target.
func (q *Queue) coldEnded(id uint64, completion Completion, now clock.Time) {
	if q.cold == nil {
		return
	}
	if completion == Answered || completion == Shed {
		q.cold.Answered(id, now)
	}
	q.cold.Ended(id, now)
}

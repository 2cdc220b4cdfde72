package workqueue

import (
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// minLargeResponse is the mean size, in bytes, from which the responses of a class wait
// for one another on the link. Smaller ones are sent at once.
const minLargeResponse = 16 << 10

// linkMargin scales up the estimate of the time on the link, because half of all
// responses are larger than estimated.
const linkMargin = 1.25

// ObserveResponse records the size of a response in bytes.
func (q *Queue) ObserveResponse(class string, bytes int) {
	mean, ok := q.estimator.responseBytes[class]
	if !ok {
		mean = float64(bytes)
	}
	q.estimator.responseBytes[class] = mean + classWeight*(float64(bytes)-mean)
}

// ResponseBytes returns the mean size in bytes of the responses of a class, 0 if there was none.
func (q *Queue) ResponseBytes(class string) int { return int(q.estimator.responseBytes[class]) }

// largeBytes returns the expected size of an item's response, or 0 if it is not large
// or crosses no link.
func (e *estimator) largeBytes(item *Item) float64 {
	if mean := e.responseBytes[item.Class]; mean >= minLargeResponse && item.Link.BytesPerSecond > 0 {
		return mean
	}
	return 0
}

// delivered returns when the response to an item is expected to be sent completely if it
// is ready at the given time. Large responses are sent one after the other: those that
// are ready, those of the items that run, and those of the items that run earlier.
func (q *Queue) delivered(item *Item, ready, now clock.Time) clock.Time {
	bytes := q.estimator.largeBytes(item)
	if bytes == 0 {
		return ready
	}
	ahead := 0.0
	for i := range q.running {
		ahead += q.estimator.largeBytes(&q.running[i].item)
	}
	for i := range q.waiting {
		if q.waiting[i].before(item) {
			ahead += q.estimator.largeBytes(&q.waiting[i])
		}
	}
	sent := now.Add(scale(item.Link.Backlog+item.Link.duration(ahead), linkMargin))
	if sent.Before(ready) {
		sent = ready
	}
	return sent.Add(scale(item.Link.duration(bytes), linkMargin))
}

// refuseForLink reports whether the link would deliver the response of an item, which
// could start now, too late, and by how much. A link without backlog always gets a
// response, so that the estimates are corrected.
func (q *Queue) refuseForLink(item *Item, took time.Duration, now clock.Time) (late time.Duration, refuse bool) {
	done := q.delivered(item, now.Add(took), now)
	if done == now.Add(took) || item.Link.Backlog == 0 && len(q.running) == 0 {
		return 0, false
	}
	late = done.Sub(item.Objective)
	return late, late > 0 && now.Before(item.Objective) && !item.Call || done.Add(replyMargin).Sub(item.Deadline) > 0
}

func (l *Link) duration(bytes float64) time.Duration {
	return time.Duration(bytes / l.BytesPerSecond * float64(time.Second))
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}

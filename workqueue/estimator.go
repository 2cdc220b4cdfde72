package workqueue

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

const (
	// classWeight is the weight of one request in the moving average of the
	// service time of its class.
	classWeight = 0.08
	// targetWeight is the weight of one request in the moving averages of the
	// target's latency and failure ratios. These must adapt faster than the
	// averages of classes, because a target that becomes slow or fails must be
	// avoided.
	targetWeight = 0.06
	// initialLatencyRatio is the expected service time of a request of an unknown
	// class, as a share of its objective.
	initialLatencyRatio = 0.3
	// slowdownThreshold is the ratio of the mean age of the running requests to
	// their mean service time above which the target counts as slowed down.
	// Under steady load the ratio is 0.5 to 0.7.
	slowdownThreshold = 1.2
	// arrivalHalfLife is the half-life of an arrival in the moving average of the
	// arriving work, and thus roughly the time to react to a burst.
	arrivalHalfLife = 350 * time.Millisecond
	// maxWaitFactor is the largest factor by which arrivals of a higher priority
	// extend the expected wait.
	maxWaitFactor = 4.0
)

// estimator estimates the service times, failure ratio and arriving work of a target.
type estimator struct {
	classes       map[string]float64 // mean service time in seconds
	responseBytes map[string]float64 // mean size of the responses of a class
	latencyRatio  float64            // mean service time as a share of the objective
	failureRatio  float64            // moving average of failed requests
	arrivals      []arrivalRate      // in ascending order of urgency
	load          statedLoad
}

// arrivalRate is what arrives with one urgency: moving averages in which the weight of
// an arrival halves every arrivalHalfLife.
type arrivalRate struct {
	urgency  urgency
	rate     float64 // work, in seconds of service time per second
	requests float64 // per second
	at       clock.Time
}

func newEstimator() estimator {
	return estimator{classes: make(map[string]float64), responseBytes: make(map[string]float64), latencyRatio: initialLatencyRatio, load: statedLoad{sensitivity: 1}}
}

func (e *estimator) observeArrival(item *Item, now clock.Time) {
	a := e.arrivalRate(item.urgency(), now)
	a.decay(now)
	weight := math.Ln2 / arrivalHalfLife.Seconds()
	a.rate += e.meanTime(item).Seconds() * weight
	a.requests += weight
}

// arrivalRate returns the rate of an urgency, which it adds at its first arrival.
func (e *estimator) arrivalRate(u urgency, now clock.Time) *arrivalRate {
	i, found := slices.BinarySearchFunc(e.arrivals, u, func(a arrivalRate, u urgency) int { return cmp.Compare(a.urgency, u) })
	if !found {
		e.arrivals = slices.Insert(e.arrivals, i, arrivalRate{urgency: u, at: now})
	}
	return &e.arrivals[i]
}

func (a *arrivalRate) decay(now clock.Time) {
	if elapsed := now.Sub(a.at); elapsed > 0 {
		factor := math.Exp2(-elapsed.Seconds() / arrivalHalfLife.Seconds())
		a.rate *= factor
		a.requests *= factor
		a.at = now
	}
}

// offeredWork returns the arriving work in seconds of service time per second.
func (e *estimator) offeredWork(now clock.Time) float64 {
	sum := 0.0
	for i := range e.arrivals {
		e.arrivals[i].decay(now)
		sum += e.arrivals[i].rate
	}
	return sum
}

// offeredRequests returns the arriving requests a second, as of the last offeredWork.
func (e *estimator) offeredRequests() float64 {
	sum := 0.0
	for i := range e.arrivals {
		sum += e.arrivals[i].requests
	}
	return sum
}

// meanWork returns the mean service time of the arriving requests, in seconds; 0 if none
// have arrived.
func (e *estimator) meanWork(now clock.Time) float64 {
	work, requests := e.offeredWork(now), e.offeredRequests()
	if requests <= 0 {
		return 0
	}
	return work / requests
}

// pacedWaitFactor returns the factor by which more urgent requests, which run first,
// extend the wait of an item for a rate limit.
func (e *estimator) pacedWaitFactor(item *Item, rate float64) float64 {
	return extension(e.moreUrgentRequests(item.urgency()) / rate)
}

// moreUrgentRequests returns the arriving requests a second that are more urgent than u.
func (e *estimator) moreUrgentRequests(u urgency) float64 {
	sum := 0.0
	for i := range e.arrivals {
		if e.arrivals[i].urgency > u {
			sum += e.arrivals[i].requests
		}
	}
	return sum
}

// waitFactor returns the factor by which more urgent requests, which run first, extend
// the wait of an item at a target that runs limit requests concurrently.
func (e *estimator) waitFactor(item *Item, limit int) float64 {
	return extension(e.moreUrgentWork(item.urgency()) / float64(limit))
}

// extension returns the factor by which a wait is extended if more urgent requests use a
// share of the target.
func extension(urgentShare float64) float64 {
	return min(1/max(1-urgentShare, 1/maxWaitFactor), maxWaitFactor)
}

// moreUrgentWork returns the arriving work that is more urgent than u, in seconds of
// service time per second. This is the mean number of slots that it occupies.
func (e *estimator) moreUrgentWork(u urgency) float64 {
	sum := 0.0
	for i := range e.arrivals {
		if e.arrivals[i].urgency > u {
			sum += e.arrivals[i].rate
		}
	}
	return sum
}

// meanTime returns the expected service time of an item from the moving average of
// its class.
func (e *estimator) meanTime(item *Item) time.Duration {
	if mean, ok := e.classes[item.Class]; ok {
		return time.Duration(mean * float64(time.Second))
	}
	return time.Duration(float64(item.Objective.Sub(item.Arrived)) * initialLatencyRatio)
}

// expectedTime returns the expected service time of an item at a target that has
// slowed down by a factor.
func (e *estimator) expectedTime(item *Item, slowdown float64) time.Duration {
	return time.Duration(float64(e.meanTime(item)) * slowdown)
}

// slowdown returns the ratio of the ages of the running items to their mean service
// times, or 1 if the target has not slowed down.
func (e *estimator) slowdown(items []running, now clock.Time) float64 {
	var age, usual time.Duration
	for i := range items {
		age += now.Sub(items[i].since)
		usual += scale(e.meanTime(&items[i].item), 1+items[i].extra)
	}
	if usual <= 0 {
		return 1
	}
	if ratio := float64(age) / float64(usual); ratio > slowdownThreshold {
		return ratio
	}
	return 1
}

// observeEnd records the end of an item. Its service time is learned as if the target had had
// its usual speed.
func (e *estimator) observeEnd(r *running, completion Completion, took time.Duration) {
	item := &r.item
	normal, weight := e.load.normal(took.Seconds(), r.since)
	mean, ok := e.classes[item.Class]
	if !ok {
		mean = normal
	}
	switch completion {
	case NotSent, Canceled:
		return
	case Replaced:
		if !ok || took.Seconds() < mean {
			return
		}
	case Shed, Failed:
		e.failureRatio += targetWeight * (1 - e.failureRatio)
		if completion == Shed || normal < mean {
			return
		}
		// The request took at least the mean time of its class before it failed
		// and would have taken longer, so its time is counted.
	default:
		e.failureRatio -= targetWeight * e.failureRatio
		if ok && mean > 0 {
			e.load.learn(took.Seconds()/mean, r.since)
		}
	}
	e.classes[item.Class] = mean + weight*classWeight*(normal-mean)
	if objective := item.Objective.Sub(item.Arrived); objective > 0 {
		e.latencyRatio += targetWeight * (float64(took)/float64(objective) - e.latencyRatio)
	}
}

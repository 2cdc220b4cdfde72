package hedge

import (
	"math"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

const (
	// shortest is the upper end of the first bucket. Shorter times need no distinction, since
	// no copy is sent that early.
	shortest = time.Millisecond
	// bucketsPerDoubling gives buckets whose ends differ by 19%.
	bucketsPerDoubling = 4
	// buckets covers times up to about a minute, more than the timeout of any known route.
	buckets = 64
	// halfLife is the time after which an observation counts half. A route with one request in
	// two seconds has enough observations by then.
	halfLife = 60 * time.Second
	// decayInterval is the time between two decays, which change all buckets.
	decayInterval = time.Second
)

// Estimate is the distribution of the response times of a route. Older observations count
// less. The zero Estimate is empty.
//
// Sending copies does not bias a quantile that serves as their delay: whether a request is
// answered before the delay does not depend on the copy, and one that is answered after it
// counts as later either way.
type Estimate struct {
	counts  [buckets]float32
	total   float64
	decayed clock.Time
}

// Observe adds a response time.
func (e *Estimate) Observe(took time.Duration, now clock.Time) {
	e.decay(now)
	e.counts[bucketOf(took)]++
	e.total++
}

// Weight returns the number of observations, each with the share that it still counts.
func (e *Estimate) Weight() float64 { return e.total }

// Quantile returns a time within which the share q of the responses arrived, rounded up to
// the end of its bucket; 0 if there are no observations.
func (e *Estimate) Quantile(q float64) time.Duration {
	if e.total == 0 {
		return 0
	}
	below, last := 0.0, 0
	for i, n := range e.counts {
		if n == 0 {
			continue
		}
		below, last = below+float64(n), i
		if below >= q*e.total {
			break
		}
	}
	return bucketEnd(last)
}

// decay reduces the weight of the observations by the time since the last decay.
func (e *Estimate) decay(now clock.Time) {
	if e.decayed == clock.Never {
		e.decayed = now
	}
	elapsed := now.Sub(e.decayed)
	if elapsed < decayInterval {
		return
	}
	e.decayed = now
	factor := math.Exp2(-float64(elapsed) / float64(halfLife))
	e.total = 0
	for i := range e.counts {
		e.counts[i] *= float32(factor)
		e.total += float64(e.counts[i])
	}
}

func bucketOf(took time.Duration) int {
	if took <= shortest {
		return 0
	}
	i := math.Ceil(bucketsPerDoubling * math.Log2(float64(took)/float64(shortest)))
	return int(min(i, buckets-1))
}

func bucketEnd(i int) time.Duration {
	return time.Duration(float64(shortest) * math.Exp2(float64(i)/bucketsPerDoubling))
}

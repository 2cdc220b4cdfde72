package placement

import "math"

const (
	// compareAllLimit is the largest number of candidates that are all compared.
	// From a larger set, a random sample is compared, so that entries do not all
	// select the same target.
	compareAllLimit = 4
	// sampleSize is the number of candidates sampled from a large set.
	sampleSize = 3
	// crossZoneCost is the cost of sending a request to another availability zone,
	// as a share of the request's objective.
	crossZoneCost = 0.07
	// crossInstanceCost is the cost of sending a request to another instance of
	// the same zone, as a share of the request's objective.
	crossInstanceCost = 0.015
	// utilizationPenalty raises the expected time by up to this share as a target
	// fills up, since some targets slow down when they are nearly full.
	utilizationPenalty = 0.35
	// failureCost is the cost of a target that fails all requests. It is also
	// added for a target whose daemon has sent no recent status.
	failureCost = 8
	// jitter is the largest random increase of a cost, as a share of it. It breaks
	// ties between equal targets.
	jitter = 0.02
)

// Candidate is the state of a target as the selecting daemon has it.
type Candidate struct {
	InFlight     int     // requests running and waiting at the target, including those of the selecting daemon
	Limit        int     // requests that the target runs concurrently
	LatencyRatio float64 // mean response time as a share of the requests' objectives
	FailureRatio float64 // share of requests that fail at the target
	SameZone     bool
	SameInstance bool
	Excluded     bool // already tried, or the target or its daemon is shutting down
	Suspected    bool // its daemon has sent no recent status
}

// Choose returns the index of the candidate with the lowest cost, or -1 if all
// are excluded. random returns uniformly distributed numbers in [0, 1). Only
// the first 64 candidates that are not excluded are considered.
func Choose(candidates []Candidate, random func() float64) int {
	var usable [64]int
	n := 0
	for i := range candidates {
		if !candidates[i].Excluded && n < len(usable) {
			usable[n] = i
			n++
		}
	}
	if n == 0 {
		return -1
	}
	if n > compareAllLimit {
		for i := range sampleSize {
			j := i + int(random()*float64(n-i))
			usable[i], usable[j] = usable[j], usable[i]
		}
		n = sampleSize
	}
	best, lowest := -1, math.Inf(1)
	for _, i := range usable[:n] {
		if cost := Cost(&candidates[i]) * (1 + jitter*random()); cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// Cost returns the expected response time of a request at a candidate, as a
// share of the request's objective, plus penalties for failures, distance and
// a missing status.
func Cost(c *Candidate) float64 {
	limit := float64(max(c.Limit, 1))
	busy := float64(c.InFlight) / limit
	cost := c.LatencyRatio * (1 + utilizationPenalty*min(busy, 1)*min(busy, 1))
	if wait := float64(c.InFlight+1) - limit; wait > 0 {
		cost += c.LatencyRatio * wait / limit
	}
	cost += failureCost * c.FailureRatio * c.FailureRatio
	switch {
	case c.SameInstance:
	case c.SameZone:
		cost += crossInstanceCost
	default:
		cost += crossZoneCost
	}
	if c.Suspected {
		cost += failureCost
	}
	return cost
}

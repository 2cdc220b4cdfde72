package placement

import "math"

const (
	// compareAllLimit is the largest number of candidates that are all compared.
	// From a larger set, a random sample is compared, so that entries do not all
	// select the same target.
	compareAllLimit = 4
	// nearSample and farSample are the numbers of candidates sampled from a large set,
	// in the own zone and elsewhere.
	nearSample = 3
	farSample  = 2
	// crossZoneCost is the cost of sending a request to another availability zone,
	// as a share of the request's objective.
	crossZoneCost = 0.07
	// largeCrossZoneCost is crossZoneCost for a request with a large response. The bytes
	// between zones cost more than a response that takes a part of its objective longer.
	largeCrossZoneCost = 0.4
	// crossInstanceCost is the cost of sending a request to another instance of
	// the same zone, as a share of the request's objective.
	crossInstanceCost = 0.015
	// utilizationPenalty raises the expected time by up to this share as a target
	// fills up, since some targets slow down when they are nearly full.
	utilizationPenalty = 0.35
	// failureCost is the cost of a target that fails all requests. It is also
	// added for a target whose daemon has sent no recent status.
	failureCost = 8
	// probeShare is the share of requests that an idle target of the sample gets whatever
	// its latency seems to be. A target that has joined has no measured latency, and
	// that of one which was slow is outdated.
	probeShare = 0.02
	// maxProbedFailureRatio is the largest failure ratio of a target that is probed.
	maxProbedFailureRatio = 0.2
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

// Request is what the selection depends on besides the candidates.
type Request struct {
	LargeResponse bool
}

// Choose returns the index of the candidate with the lowest cost, or -1 if all
// are excluded. random returns uniformly distributed numbers in [0, 1).
func Choose(candidates []Candidate, r Request, random func() float64) int {
	near, far := reservoir{}, reservoir{}
	for i := range candidates {
		switch c := &candidates[i]; {
		case c.Excluded:
		case c.SameZone:
			near.add(i, random)
		default:
			far.add(i, random)
		}
	}
	if near.seen+far.seen > compareAllLimit {
		near.reduce(nearSample, random)
		far.reduce(farSample, random)
	}
	probe := random() < probeShare
	best, lowest := -1, math.Inf(1)
	for _, sample := range [...]*reservoir{&near, &far} {
		for _, i := range sample.index[:sample.kept] {
			if probe && mayProbe(&candidates[i]) {
				return i
			}
			if cost := Cost(&candidates[i], r) * (1 + jitter*random()); cost < lowest {
				best, lowest = i, cost
			}
		}
	}
	return best
}

// mayProbe reports whether a request may be sent to a candidate for its latency to be
// measured. Those of the own instance are measured by its own daemon's requests.
func mayProbe(c *Candidate) bool {
	return c.InFlight == 0 && !c.SameInstance && !c.Suspected && c.FailureRatio <= maxProbedFailureRatio
}

// reservoir is a uniform random sample of the indices that were added.
type reservoir struct {
	index [compareAllLimit]int
	kept  int
	seen  int
}

func (r *reservoir) add(i int, random func() float64) {
	r.seen++
	if r.kept < len(r.index) {
		r.index[r.kept] = i
		r.kept++
		return
	}
	if j := int(random() * float64(r.seen)); j < len(r.index) {
		r.index[j] = i
	}
}

// reduce removes random indices until n are left.
func (r *reservoir) reduce(n int, random func() float64) {
	for r.kept > n {
		r.kept--
		r.index[int(random()*float64(r.kept+1))] = r.index[r.kept]
	}
}

// Cost returns the expected response time of a request at a candidate, as a
// share of the request's objective, plus penalties for failures, distance and
// a missing status.
func Cost(c *Candidate, r Request) float64 {
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
	case r.LargeResponse:
		cost += largeCrossZoneCost
	default:
		cost += crossZoneCost
	}
	if c.Suspected {
		cost += failureCost
	}
	return cost
}

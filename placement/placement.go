package placement

import "math"

const (
	// exhaustive is the number of candidates up to which all are compared. Among
	// more, a few are drawn, so that entries do not all pick the same one.
	exhaustive = 4
	// drawn is the number of candidates drawn among many.
	drawn = 3
	// otherZone is the cost of leaving the zone, as a share of an objective.
	otherZone = 0.07
	// otherInstance is the cost of leaving the instance.
	otherInstance = 0.015
	// crowdedSlope is how much a target that is nearly full is avoided: some
	// slow down then.
	crowdedSlope = 0.35
	// failingCost is the cost of a target that fails all requests.
	failingCost = 8
	// jitter breaks ties between targets that look the same.
	jitter = 0.02
)

// Candidate is a target as the choosing daemon knows it.
type Candidate struct {
	InFlight  int     // requests that run and wait there, own ones included
	Limit     int     // requests that it runs at once
	Pace      float64 // mean time as a share of the objectives
	Failing   float64 // share of requests that fail there
	SameZone  bool
	SameHost  bool
	Excluded  bool // tried already, leaving or silent
	Unwatched bool // its daemon was not heard lately
}

// Choose returns the index of the best candidate, or -1 if all are excluded.
// random returns uniform numbers in [0, 1).
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
	if n > exhaustive {
		for i := range drawn {
			j := i + int(random()*float64(n-i))
			usable[i], usable[j] = usable[j], usable[i]
		}
		n = drawn
	}
	best, least := -1, math.Inf(1)
	for _, i := range usable[:n] {
		if cost := Cost(&candidates[i]) * (1 + jitter*random()); cost < least {
			best, least = i, cost
		}
	}
	return best
}

// Cost is the time that a request would take at a candidate, as a share of its
// objective, with what speaks against the candidate added.
func Cost(c *Candidate) float64 {
	limit := float64(max(c.Limit, 1))
	busy := float64(c.InFlight) / limit
	cost := c.Pace * (1 + crowdedSlope*min(busy, 1)*min(busy, 1))
	if wait := float64(c.InFlight+1) - limit; wait > 0 {
		cost += c.Pace * wait / limit
	}
	cost += failingCost * c.Failing * c.Failing
	switch {
	case c.SameHost:
	case c.SameZone:
		cost += otherInstance
	default:
		cost += otherZone
	}
	if c.Unwatched {
		cost += failingCost
	}
	return cost
}

package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func Example() {
	candidates := []Candidate{
		{InFlight: 18, Limit: 18, LatencyRatio: 0.3, SameZone: true},
		{InFlight: 2, Limit: 18, LatencyRatio: 0.3},
	}
	fmt.Println(Choose(candidates, func() float64 { return 0.5 }))
	// Output: 1
}

// share returns the share of draws in which each candidate is selected.
func share(c []Candidate) []float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	counts := make([]float64, len(c))
	const draws = 4000
	for range draws {
		counts[Choose(c, rng.Float64)] += 1.0 / draws
	}
	return counts
}

// TestSlowTargetIsAvoided guards against requests staying in the local zone
// when its target is five times slower than usual and targets in another zone
// have capacity.
func TestSlowTargetIsAvoided(t *testing.T) {
	got := share([]Candidate{
		{InFlight: 6, Limit: 18, LatencyRatio: 1.5, SameZone: true},
		{InFlight: 9, Limit: 18, LatencyRatio: 0.3},
		{InFlight: 9, Limit: 18, LatencyRatio: 0.3},
	})
	if got[0] > 0 {
		t.Errorf("the slow target gets %.2f of the requests", got[0])
	}
}

// TestFailingTargetIsAvoided guards against preferring a target that fails
// half of its requests quickly and therefore appears idle.
func TestFailingTargetIsAvoided(t *testing.T) {
	got := share([]Candidate{
		{InFlight: 0, Limit: 18, LatencyRatio: 0.05, FailureRatio: 0.45, SameZone: true, SameInstance: true},
		{InFlight: 14, Limit: 18, LatencyRatio: 0.3},
	})
	if got[0] > 0 {
		t.Errorf("the failing target gets %.2f of the requests", got[0])
	}
}

// TestOwnZoneWhileItHasRoom checks that requests stay in the local zone until
// its target is full.
func TestOwnZoneWhileItHasRoom(t *testing.T) {
	c := []Candidate{{InFlight: 5, Limit: 18, LatencyRatio: 0.3, SameZone: true}, {InFlight: 5, Limit: 18, LatencyRatio: 0.3}}
	if got := share(c); got[0] < 0.9 {
		t.Errorf("the local zone gets %.2f of the requests", got[0])
	}
	c[0].InFlight = 24
	if got := share(c); got[0] > 0.1 {
		t.Errorf("a full target in the local zone gets %.2f of the requests", got[0])
	}
}

// TestManyCandidatesAreSpread checks that requests are distributed over many
// equal targets, so that entries do not all select the same one.
func TestManyCandidatesAreSpread(t *testing.T) {
	c := make([]Candidate, 24)
	for i := range c {
		c[i] = Candidate{InFlight: 9, Limit: 18, LatencyRatio: 0.3}
	}
	for i, s := range share(c) {
		if s < 0.5/24 || s > 2.0/24 {
			t.Errorf("candidate %d gets %.3f of the requests", i, s)
		}
	}
	for i := range c {
		c[i].Excluded = true
	}
	if i := Choose(c, func() float64 { return 0 }); i != -1 {
		t.Errorf("selected candidate %d although all are excluded", i)
	}
}

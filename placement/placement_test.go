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
	fmt.Println(Choose(candidates, Request{}, func() float64 { return 0.5 }))
	// Output: 1
}

// share returns the share of draws in which each candidate is selected.
func share(c []Candidate) []float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	counts := make([]float64, len(c))
	const draws = 4000
	for range draws {
		counts[Choose(c, Request{}, rng.Float64)] += 1.0 / draws
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
	if i := Choose(c, Request{}, func() float64 { return 0 }); i != -1 {
		t.Errorf("selected candidate %d although all are excluded", i)
	}
}

// The reservoirs are filled in the order of the candidates: those that come first must
// not be preferred.
func TestTargetsPastThe64thAreUsed(t *testing.T) {
	c := make([]Candidate, 200)
	for i := range c {
		c[i] = Candidate{InFlight: 2, Limit: 11, LatencyRatio: 0.3, SameZone: i%5 == 0}
	}
	got := share(c)
	for i, s := range got {
		if c[i].SameZone && (s < 0.3/40 || s > 2.0/40) {
			t.Errorf("candidate %d of the own zone gets %.4f of the requests, want about %.4f", i, s, 1.0/40)
		}
	}
	for i := range 64 {
		c[i].Excluded = true // a release replaces the first targets
	}
	if i := Choose(c, Request{}, rand.New(rand.NewPCG(1, 2)).Float64); i < 64 {
		t.Errorf("selected candidate %d", i)
	}
}

// With a sample of three of 71 targets, half of all requests left a zone that had room.
func TestRequestsOfALargeFleetStayInTheirZone(t *testing.T) {
	c := make([]Candidate, 71)
	for i := range c {
		c[i] = Candidate{InFlight: 4 + i%3, Limit: 11, LatencyRatio: 0.3, SameZone: i%5 == 0}
	}
	near := 0.0
	for i, s := range share(c) {
		if c[i].SameZone {
			near += s
		}
	}
	if near < 0.9 {
		t.Errorf("%.2f of the requests stay in their zone, which has room", near)
	}
}

// A large response in another zone costs more than a response that comes a little later.
func TestLargeResponsesStayInTheirZone(t *testing.T) {
	c := []Candidate{{InFlight: 6, Limit: 6, LatencyRatio: 0.2, SameZone: true}, {InFlight: 0, Limit: 6, LatencyRatio: 0.2}}
	if i := Choose(c, Request{LargeResponse: true}, func() float64 { return 0.5 }); i != 0 {
		t.Error("a large response leaves the zone because a target has some load")
	}
	if i := Choose(c, Request{}, func() float64 { return 0.5 }); i != 1 {
		t.Error("a small response stays at the loaded target")
	}
	c[0].InFlight = 30
	if i := Choose(c, Request{LargeResponse: true}, func() float64 { return 0.5 }); i != 1 {
		t.Error("a large response stays at a target with a long queue")
	}
}

// A target that joined got no request at all: its latency was assumed to be twice that of
// the others and, without requests, was never measured.
func TestJoinedTargetIsMeasured(t *testing.T) {
	c := make([]Candidate, 12)
	for i := range c {
		c[i] = Candidate{InFlight: 1, Limit: 6, LatencyRatio: 0.15, SameZone: i%4 == 0}
	}
	c[7].InFlight, c[7].LatencyRatio = 0, 0.35
	got := share(c)
	if got[7] < 0.001 || got[7] > 0.03 {
		t.Errorf("the target that joined gets %.4f of the requests", got[7])
	}
	c[7].FailureRatio = 0.5
	if got := share(c); got[7] > 0 {
		t.Errorf("a failing target gets %.4f of the requests", got[7])
	}
}

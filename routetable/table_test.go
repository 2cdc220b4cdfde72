package routetable

import "testing"

// TestClusterShares checks that each cluster receives the share of requests
// that its weight specifies.
func TestClusterShares(t *testing.T) {
	r := Route{Clusters: []Cluster{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	const draws = 1000
	n := 0
	for i := range draws {
		if r.PickService(float64(i)/draws) == "b" {
			n++
		}
	}
	if n != draws/10 {
		t.Errorf("%d of %d requests go to service b, want a tenth", n, draws)
	}
}

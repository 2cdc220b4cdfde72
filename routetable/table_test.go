package routetable

import (
	"errors"
	"testing"

	"github.com/parsleystack/parsleystack/ident"
)

// TestClusterShares checks that each cluster receives the share of requests
// that its weight specifies.
func TestClusterShares(t *testing.T) {
	if n := draws(t, split(90, 10), true)["keyed"]; n != 100 {
		t.Errorf("%d of 1000 requests go to service keyed, want a tenth", n)
	}
	if n := draws(t, split(0.9, 0.1), true)["keyed"]; n != 100 {
		t.Errorf("%d of 1000 requests go to service keyed, want a tenth", n)
	}
}

// A route that splits its requests between a service that is divided by key and another
// one drew the first for requests without a key, too, and they got 400.
func TestRequestsWithoutKeyGoToTheOtherServices(t *testing.T) {
	if got := draws(t, split(90, 10), false); got["plain"] != 1000 {
		t.Errorf("requests without a key are drawn to %v", got)
	}
}

// A request that no service of its route can serve must not look like one of a route
// whose services are not known.
func TestNoServiceToPick(t *testing.T) {
	table := testTable()
	for name, c := range map[string]struct {
		clusters []Cluster
		want     error
	}{
		"keyed only":        {[]Cluster{{Service: "keyed", Weight: 1}}, ErrKeyRequired},
		"missing":           {[]Cluster{{Service: "missing", Weight: 1}}, ErrNoService},
		"keyed and missing": {[]Cluster{{Service: "keyed", Weight: 1}, {Service: "missing", Weight: 1}}, ErrNoService},
		"none":              {nil, ErrNoService},
	} {
		if s, err := table.PickService(&Route{Clusters: c.clusters}, false, 0.5); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, %v, want %v", name, s.Name, err, c.want)
		}
	}
	r := Route{Clusters: []Cluster{{Service: "missing", Weight: 9}, {Service: "plain", Weight: 1}}}
	if s, err := table.PickService(&r, false, 0.5); err != nil || s.Name != "plain" {
		t.Errorf("beside a missing service: %v, %v, want plain", s.Name, err)
	}
}

func testTable() *Table {
	return New(Configuration{Services: map[ident.Service]Service{"plain": {Name: "plain"}, "keyed": {Name: "keyed", Keyed: true}}})
}

func split(plain, keyed float64) *Route {
	return &Route{Clusters: []Cluster{{Service: "plain", Weight: plain}, {Service: "keyed", Weight: keyed}}}
}

// draws counts the services of 1000 requests with evenly spaced draws.
func draws(t *testing.T, r *Route, hasKey bool) map[ident.Service]int {
	t.Helper()
	table, n := testTable(), make(map[ident.Service]int)
	for i := range 1000 {
		s, err := table.PickService(r, hasKey, float64(i)/1000)
		if err != nil {
			t.Fatal(err)
		}
		n[s.Name]++
	}
	return n
}

package bench

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/parsleystack/parsleystack/standin/target"
)

// serviceKey identifies a key of a service.
type serviceKey struct{ service, key string }

// findTwoOwners finds keys for which two targets ran requests at the same time.
// Runs without a token belong to no owner and are ignored. A run without an end
// counts as interrupted at its start.
func findTwoOwners(runs []target.Run) []Violation {
	byKey := map[serviceKey][]*target.Run{}
	for i := range runs {
		r := &runs[i]
		if r.Token == "" {
			continue
		}
		k := serviceKey{service: r.Service, key: r.Key}
		byKey[k] = append(byKey[k], r)
	}
	var violations []Violation
	for k, keyRuns := range byKey {
		if v, found := overlap(keyRuns); found {
			v.ID = k.service + "/" + k.key
			violations = append(violations, v)
		}
	}
	slices.SortFunc(violations, func(a, b Violation) int { return cmp.Compare(a.ID, b.ID) })
	return violations
}

// overlap returns the first pair of runs at different targets that overlap in
// time.
func overlap(runs []*target.Run) (Violation, bool) {
	slices.SortFunc(runs, func(a, b *target.Run) int { return cmp.Compare(a.Start, b.Start) })
	latest := map[string]*target.Run{} // by target: the run that ends last
	for _, r := range runs {
		for name, other := range latest {
			if name != r.Target && other.End > r.Start {
				detail := fmt.Sprintf("%s (token %s) until %d, %s (token %s) from %d", name, other.Token, other.End, r.Target, r.Token, r.Start)
				return Violation{Kind: TwoOwners, Detail: detail}, true
			}
		}
		if l := latest[r.Target]; l == nil || r.End > l.End {
			latest[r.Target] = r
		}
	}
	return Violation{}, false
}

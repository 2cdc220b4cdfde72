package ownertable_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/ownertable"
)

// The first table deals all keys to the targets that are ready.
func Example() {
	var targets []ownertable.Candidate
	for _, name := range []string{"reports-1", "reports-2"} {
		owner := ownertable.Owner{Target: ownertable.Target{ID: name, Born: 1}}
		targets = append(targets, ownertable.Candidate{Owner: owner, Slots: 18, Ready: true, Heard: true})
	}
	next, _ := ownertable.Plan(ownertable.NewTable(), 0, &ownertable.World{Candidates: targets, Settled: true})
	row := next.Find(12345)
	fmt.Println(row.Owner.Target.ID, row.Token, row.Contains(12345))
	// Output: reports-1 1 true
}

package ownertable_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/ownertable"
)

// The initial table assigns all keys to the targets that are ready.
func Example() {
	var targets []ownertable.Candidate
	for _, name := range []string{"reports-1", "reports-2"} {
		owner := ownertable.Owner{Target: ownertable.Target{ID: name, StartTime: 1}}
		targets = append(targets, ownertable.Candidate{Owner: owner, Slots: 18, Ready: true, Responded: true})
	}
	next, _ := ownertable.Plan(ownertable.NewTable(), 0, &ownertable.PlanInput{Candidates: targets, MembershipStable: true})
	shard := next.Find(12345)
	fmt.Println(shard.Owner.Target.ID, shard.Token, shard.Contains(12345))
	// Output: reports-1 1 true
}

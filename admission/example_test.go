package admission_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/admission"
)

func Example() {
	q := admission.New(admission.Config{Slots: 1, QueueLimit: 1})
	for id := range uint64(3) {
		item := admission.Item{ID: id, Flow: admission.Flow(id), Deadline: 1000}
		effects := q.Step(admission.Event{Kind: admission.Arrive, Item: item}, 0)
		for _, r := range effects.Refuse {
			fmt.Println(id, "refused:", r.Reason)
		}
		if len(effects.Start) > 0 {
			fmt.Println(id, "starts")
		}
	}
	// Output:
	// 0 starts
	// 2 refused: overloaded
}

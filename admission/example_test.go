package admission_test

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/admission"
	"github.com/parsleystack/parsleystack/clock"
)

// One request runs, one waits, the third is refused at once.
func Example() {
	queue := admission.New(admission.Config{Slots: 1, QueueLimit: 1, FixedLimit: true})
	now := clock.Time(1)
	for id := range uint64(3) {
		item := admission.Item{ID: id, Flow: admission.Flow(id), Deadline: now.Add(time.Second)}
		effects := queue.Step(admission.Event{Kind: admission.Arrive, Item: item}, now)
		for _, started := range effects.Start {
			fmt.Println("start", started)
		}
		for _, refusal := range effects.Refuse {
			fmt.Println("refuse", refusal.ID, refusal.Reason)
		}
	}
	now = now.Add(time.Millisecond)
	ended := admission.Event{Kind: admission.Finish, Ending: admission.Answered, Took: time.Millisecond}
	fmt.Println("start", queue.Step(ended, now).Start)
	// Output:
	// start 0
	// refuse 2 overloaded
	// start [1]
}

package workqueue_test

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/workqueue"
)

// One request starts, one waits, and one that would miss its objective is
// refused on arrival.
func Example() {
	q := workqueue.New(1)
	now := clock.Time(time.Hour)
	for id := range uint64(6) {
		item := workqueue.Item{ID: id, Class: "view", Arrived: now, Objective: now.Add(time.Second), Deadline: now.Add(3 * time.Second)}
		verdict, refusal := q.Arrive(item, now)
		if verdict == workqueue.Refuse {
			fmt.Println(id, "refused, may come back:", refusal.RetryAfter > 0)
			break
		}
		fmt.Println(id, verdict == workqueue.Start)
	}
	// Output:
	// 0 true
	// 1 false
	// 2 refused, may come back: true
}

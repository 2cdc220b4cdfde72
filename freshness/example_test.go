package freshness_test

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/freshness"
)

// A copy is checked before its age reaches the bound.
func Example() {
	t := freshness.NewTracker(freshness.NewPolicy(2 * time.Second))
	now := clock.Time(time.Hour)
	t.Started(now)
	t.Succeeded(now, 0.5)
	fmt.Println(t.Due(now.Add(500*time.Millisecond), false), t.Due(now.Add(time.Second), false))
	// Output: false true
}

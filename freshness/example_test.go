package freshness_test

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/freshness"
)

// A copy that another process confirmed is checked only when its age nears the bound.
func Example() {
	t := freshness.NewTracker(freshness.NewPolicy(2 * time.Second))
	at := clock.Time(time.Hour)
	t.Confirm(at, 0)
	fmt.Println(t.Due(at.Add(time.Second), false), t.Due(at.Add(1200*time.Millisecond), false))
	// Output: false true
}

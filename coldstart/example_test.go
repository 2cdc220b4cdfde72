package coldstart_test

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/coldstart"
)

// After its start a daemon paces requests until the target says that it is warm.
func ExampleTracker() {
	now := clock.Time(time.Hour)
	t := coldstart.NewTracker(now)
	t.SetLimit(coldstart.Limit{Known: true, PerSecond: 10, Overage: 1.5, Slack: 8, Duration: 10 * time.Second}, now)
	fmt.Println(t.Wait(1, now), t.State(now).Evidence)
	now = now.Add(time.Second)
	t.Observe(coldstart.HeartbeatStatement(true, 0, now), now)
	fmt.Println(t.Wait(1, now), t.State(now).Cold)
	// Output:
	// 100ms daemon-started
	// 0s false
}

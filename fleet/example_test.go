package fleet_test

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
)

// A status brings a daemon's record along, and its silence shows after a while.
func Example() {
	d := fleet.NewDirectory()
	now := clock.Time(time.Hour)
	m := fleet.Member{Instance: "reports-1", Incarnation: 1, Revision: 2, Addr: "127.0.0.1:7620", State: fleet.TargetReady}
	p, news := d.Hear(&fleet.Status{Seq: 1, Member: m}, now)
	later := now.Add(2 * fleet.SilentAfter)
	fmt.Println(news, p.Member.State, d.NewWatch("reports", now).Silent(p), d.NewWatch("reports", later).Silent(p))
	// Output: true ready false true
}

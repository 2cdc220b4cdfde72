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
	fmt.Println(news, p.Member.State, p.Silent(now), p.Silent(now.Add(2*fleet.SilentAfter)))
	// Output: true ready false true
}

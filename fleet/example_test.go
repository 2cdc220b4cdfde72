package fleet_test

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
)

// A status carries the sender's record. A daemon that sends no further status is
// suspected after the suspect timeout.
func Example() {
	d := fleet.NewDirectory()
	now := clock.Time(time.Hour)
	m := fleet.Member{Instance: "reports-1", Incarnation: 1, Revision: 2, Addr: "127.0.0.1:7620", State: fleet.TargetReady}
	p, changed := d.ApplyStatus(&fleet.Status{Seq: 1, Member: m}, now)
	later := now.Add(2 * fleet.SuspectTimeout)
	fmt.Println(changed, p.Member.State, d.NewFailureDetector("reports", now).Suspected(p), d.NewFailureDetector("reports", later).Suspected(p))
	// Output: true ready false true
}

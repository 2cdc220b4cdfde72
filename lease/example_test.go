package lease_test

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/lease"
)

// A range is held until its lease ends on the local clock.
func Example() {
	now := clock.Time(time.Hour)
	table := lease.NewTable(func() clock.Time { return now })
	owner := ident.Node{Instance: "reports-1", Incarnation: 1}
	grant := cell.Grant{Range: keyspace.Divide(2)[0], Owner: owner, Token: cell.Token{Term: 7, Seq: 1}}
	table.Store([]cell.Holding{{Grant: grant, Expires: now.Add(2 * time.Second)}})

	use, verdict := table.Acquire(0, now)
	fmt.Println(verdict, table.InFlight(grant.Range))
	use.Release()

	_, verdict = table.Acquire(keyspace.MaxPoint, now)
	fmt.Println(verdict)
	_, verdict = table.Acquire(0, now.Add(3*time.Second))
	fmt.Println(verdict)
	// Output:
	// held 1
	// not held
	// expired
}

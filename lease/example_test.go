package lease_test

import (
	"fmt"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/lease"
)

func Example() {
	now := clock.Time(1000)
	table := lease.NewTable(func() clock.Time { return now })
	grant := cell.Grant{Range: keyspace.Full(), Token: cell.Token{Term: 17, Seq: 4}}
	table.Store([]cell.Holding{{Grant: grant, Expires: 2000}})

	use, verdict := table.Acquire(42, now)
	fmt.Println(verdict)
	held, _, verdict := use.Check(now)
	fmt.Println(verdict, held.Token)
	use.Release()

	_, _, verdict = table.Check(42, 2000)
	fmt.Println(verdict)
	// Output:
	// held
	// held 17.4
	// expired
}

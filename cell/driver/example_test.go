package driver_test

import (
	"context"
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/cell/driver"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/platformlog/logtest"
)

// stubs implements the interfaces of driver.Config for a cell of one member.
type stubs struct {
	held chan []cell.Holding
}

func (stubs) Send(ident.Node, string, []byte)           {}
func (stubs) Quiesce(_ keyspace.Range, done func())     { done() }
func (stubs) Grant(context.Context, cell.Holding) error { return nil }
func (stubs) Prepare(context.Context, cell.Grant) error { return nil }
func (stubs) Revoke(context.Context, cell.Grant) error  { return nil }
func (stubs) Changed(cell.View)                         {}
func (stubs) Audited([]cell.AuditEntry)                 {}
func (stubs) Failed(error)                              {}
func (p stubs) Store(holdings []cell.Holding)           { p.report(holdings) }

// report sends the first holdings that are not empty to the channel.
func (p stubs) report(holdings []cell.Holding) {
	if len(holdings) == 0 {
		return
	}
	select {
	case p.held <- holdings:
	default:
	}
}

// A cell of one member divides the hash space and owns all of it.
func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := stubs{held: make(chan []cell.Holding, 1)}
	self := cell.Member{
		Node:     ident.Node{Instance: "reports-1", Incarnation: 1},
		Zone:     "z1",
		Addr:     "10.0.0.1:7000",
		Capacity: 20,
		Version:  cell.Version,
	}
	d, err := driver.New(driver.Config{
		Cell: cell.Config{
			Service:           "reports",
			Self:              self,
			Span:              keyspace.Full(),
			InitialRanges:     4,
			LeaseDuration:     2 * time.Second,
			HeartbeatInterval: 700 * time.Millisecond,
			RetryInterval:     250 * time.Millisecond,
			DriftPPM:          500,
			MaxLogStaleness:   time.Hour,
			SnapshotInterval:  time.Hour,
			DrainLimit:        10 * time.Second,
		},
		Stream:     cell.StreamName("reports", "lombardy", 0),
		Log:        logtest.New(logtest.Options{}),
		Sender:     p,
		LeaseTable: p,
		Target:     p,
		Observer:   p,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	go func() { _ = d.Run(ctx) }()
	if err := d.Post(ctx, cell.TargetState{Ready: true}); err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(len(<-p.held), "ranges")
	// Output:
	// 4 ranges
}

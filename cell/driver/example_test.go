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

// parts are the surroundings of a driver that works alone.
type parts struct {
	held chan []cell.Holding
}

func (parts) Send(ident.Node, string, []byte)           {}
func (parts) Quiesce(_ keyspace.Range, done func())     { done() }
func (parts) Grant(context.Context, cell.Holding) error { return nil }
func (parts) Prepare(context.Context, cell.Grant) error { return nil }
func (parts) Revoke(context.Context, cell.Grant) error  { return nil }
func (parts) Changed(cell.View)                         {}
func (parts) Audited([]cell.AuditEntry)                 {}
func (parts) Failed(error)                              {}
func (p parts) Store(holdings []cell.Holding)           { p.report(holdings) }

// report hands on the first holdings.
func (p parts) report(holdings []cell.Holding) {
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
	p := parts{held: make(chan []cell.Holding, 1)}
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

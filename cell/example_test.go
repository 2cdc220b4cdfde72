package cell_test

import (
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/platformlog"
)

// A process that has just started announces itself in the cell's stream when
// it has read the stream to its end.
func ExampleNode_Step() {
	self := cell.Member{
		Node:     ident.Node{Instance: "reports-1", Incarnation: 1},
		Zone:     "z1",
		Addr:     "10.0.0.1:7000",
		Capacity: 20,
		Version:  cell.Version,
	}
	node, err := cell.NewNode(cell.Config{
		Service:           "reports",
		Self:              self,
		Span:              keyspace.Full(),
		InitialRanges:     4,
		LeaseDuration:     2 * time.Second,
		HeartbeatInterval: 850 * time.Millisecond,
		RetryInterval:     150 * time.Millisecond,
		DriftPPM:          500,
		MaxLogStaleness:   time.Hour,
		SnapshotInterval:  time.Hour,
		DrainLimit:        10 * time.Second,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := clock.Time(time.Hour)
	read := cell.LogRead{Started: now, From: 1, Batch: platformlog.Batch{Earliest: 1, Next: 1}}
	effects := node.Step(read, now)
	for _, a := range effects.Appends {
		fmt.Println("append", a.Record.Announce.Member.Node)
	}
	fmt.Println("holdings", len(node.View(now).Holdings))
	// Output:
	// append reports-1#1
	// holdings 0
}

// Two daemons claim the same base; the first in the order of the log leads.
func ExampleLedger() {
	a := ident.Node{Instance: "reports-1", Incarnation: 1}
	b := ident.Node{Instance: "reports-2", Incarnation: 1}
	unowned := cell.State{Grants: []cell.Grant{{Range: keyspace.Full()}}}
	records := []cell.Record{
		{Announce: &cell.Announce{Nonce: 1, Member: cell.Member{Node: a, Zone: "z1"}}},
		{Announce: &cell.Announce{Nonce: 2, Member: cell.Member{Node: b, Zone: "z2"}}},
		{Claim: &cell.Claim{Nonce: 3, Kind: cell.ClaimFirst, Candidate: b, Deputy: a, State: unowned}},
		{Claim: &cell.Claim{Nonce: 4, Kind: cell.ClaimFirst, Candidate: a, Deputy: b, State: unowned}},
	}
	ledger := cell.NewLedger("reports", keyspace.Full())
	for i, record := range records {
		ledger.Apply(platformlog.Offset(i+1), 0, record.AppendTo(nil))
	}
	fmt.Println(ledger.Term(), ledger.Leader(), ledger.Deputy())
	// Output:
	// 3 reports-2#1 reports-1#1
}

package driver

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/keyspace"
	"github.com/parsleystack/parsleystack/platformlog/logtest"
)

const (
	testRanges = 12
	waitLimit  = 30 * time.Second // time after which a test fails
)

// network delivers messages between the drivers of one test, by address.
type network struct {
	mu      sync.Mutex
	drivers map[string]*Driver
}

func (n *network) set(addr string, d *Driver) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drivers[addr] = d
}

func (n *network) get(addr string) *Driver {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.drivers[addr]
}

// testSender is the Sender of one driver.
type testSender struct {
	net  *network
	from ident.Node
}

func (p testSender) Send(_ ident.Node, addr string, body []byte) {
	if d := p.net.get(addr); d != nil {
		d.Deliver(p.from, body)
	}
}

// testLeaseTable is the LeaseTable of one driver.
type testLeaseTable struct {
	mu       sync.Mutex
	holdings []cell.Holding
	busy     chan struct{} // closed when no request is in flight any more; nil if none ever is
}

func (h *testLeaseTable) Store(holdings []cell.Holding) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.holdings = holdings
}

func (h *testLeaseTable) Quiesce(_ keyspace.Range, done func()) {
	if h.busy == nil {
		done()
		return
	}
	go func() {
		<-h.busy
		done()
	}()
}

// held returns the ranges that are neither expired nor releasing.
func (h *testLeaseTable) held() []keyspace.Range {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ranges []keyspace.Range
	for _, held := range h.holdings {
		if clock.Now().Before(held.Expires) && !held.Releasing {
			ranges = append(ranges, held.Grant.Range)
		}
	}
	return ranges
}

type nopTarget struct{}

func (nopTarget) Grant(context.Context, cell.Holding) error { return nil }
func (nopTarget) Prepare(context.Context, cell.Grant) error { return nil }
func (nopTarget) Revoke(context.Context, cell.Grant) error  { return nil }

type nopObserver struct{}

func (nopObserver) Changed(cell.View)         {}
func (nopObserver) Audited([]cell.AuditEntry) {}
func (nopObserver) Failed(error)              {}

// testCell is a cell of drivers that share one log.
type testCell struct {
	t           *testing.T
	log         *logtest.Log
	net         *network
	drivers     []*Driver
	leaseTables []*testLeaseTable
	cancels     []context.CancelFunc
}

func startCell(t *testing.T, size int) *testCell {
	g := &testCell{
		t:   t,
		log: logtest.New(logtest.Options{Seed: 1}),
		net: &network{drivers: map[string]*Driver{}},
	}
	for i := range size {
		g.start(i)
	}
	return g
}

func (g *testCell) start(i int) {
	node := ident.Node{Instance: ident.Instance(fmt.Sprint("i", i)), Incarnation: 1}
	addr := fmt.Sprint("addr-", i)
	h := &testLeaseTable{}
	d, err := New(Config{
		Cell: cell.Config{
			Service:           "reports",
			Self:              cell.Member{Node: node, Zone: ident.Zone(fmt.Sprint("z", i%3)), Addr: addr, Capacity: 10, Version: 1},
			Span:              keyspace.Full(),
			InitialRanges:     testRanges,
			LeaseDuration:     2 * time.Second,
			HeartbeatInterval: 700 * time.Millisecond,
			RetryInterval:     250 * time.Millisecond,
			DriftPPM:          500,
			MaxLogStaleness:   time.Hour,
			SnapshotInterval:  time.Hour,
			DrainLimit:        10 * time.Second,
			Seed:              int64(i),
		},
		Stream:     cell.StreamName("reports", "r", 0),
		Log:        g.log,
		Sender:     testSender{net: g.net, from: node},
		LeaseTable: h,
		Target:     nopTarget{},
		Observer:   nopObserver{},
	})
	if err != nil {
		g.t.Fatal(err)
	}
	g.net.set(addr, d)
	g.drivers = append(g.drivers, d)
	g.leaseTables = append(g.leaseTables, h)
	ctx, cancel := context.WithCancel(context.Background())
	g.cancels = append(g.cancels, cancel)
	g.t.Cleanup(cancel)
	go func() { _ = d.Run(ctx) }()
	_ = d.Post(ctx, cell.TargetState{Ready: true})
}

// kill stops a driver without a planned stop.
func (g *testCell) kill(i int) {
	g.net.set(fmt.Sprint("addr-", i), nil)
	g.cancels[i]()
}

// waitServed waits until the drivers other than those in without hold the
// hash space without gaps or overlaps.
func (g *testCell) waitServed(without ...int) {
	g.t.Helper()
	g.wait("every range is held", func() bool {
		var total uint64
		for i, h := range g.leaseTables {
			if slices.Contains(without, i) {
				continue
			}
			for _, r := range h.held() {
				total += uint64(r.Last-r.First) + 1
			}
		}
		return total == 0 && g.anyHeld(without) // 2^64 wraps to 0
	})
}

func (g *testCell) anyHeld(without []int) bool {
	for i, h := range g.leaseTables {
		if !slices.Contains(without, i) && len(h.held()) > 0 {
			return true
		}
	}
	return false
}

func (g *testCell) wait(what string, done func() bool) {
	g.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !done() {
		if time.Now().After(deadline) {
			g.t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// leader returns the index of the driver that leads the cell.
func (g *testCell) leader() int {
	g.t.Helper()
	found := -1
	g.wait("a leader is known", func() bool {
		for i, d := range g.drivers {
			if v := d.View(); v.Leader == v.Self {
				found = i
			}
		}
		return found >= 0
	})
	return found
}

// TestRangesAreReassignedAfterLeaderFailure checks that the ranges of a leader that fails
// are assigned to the other members.
func TestRangesAreReassignedAfterLeaderFailure(t *testing.T) {
	g := startCell(t, 3)
	g.waitServed()
	failed := g.leader()
	g.kill(failed)
	g.waitServed(failed)
}

// TestRangesAreReassignedDuringLogOutage checks that the ranges of a failed
// member are reassigned provisionally during an outage of the log, and that
// these assignments are appended to the log after the outage.
func TestRangesAreReassignedDuringLogOutage(t *testing.T) {
	g := startCell(t, 4)
	g.waitServed()
	failed := -1
	for i, d := range g.drivers {
		if v := d.View(); v.Self != v.Leader && v.Self != v.Deputy {
			failed = i
		}
	}
	g.log.SetFaults(logtest.Faults{Outage: true})
	g.kill(failed)
	g.waitServed(failed)
	g.log.SetFaults(logtest.Faults{})
	leader := g.leader()
	g.wait("provisional assignments are in the log", func() bool { return g.drivers[leader].View().Provisional == 0 })
}

// TestPlannedStopWaitsForWorkInFlight checks that a planned stop is not complete
// while a request is in flight.
func TestPlannedStopWaitsForWorkInFlight(t *testing.T) {
	g := startCell(t, 3)
	g.waitServed()
	leaving := g.leader()
	busy := make(chan struct{})
	g.leaseTables[leaving].busy = busy
	_ = g.drivers[leaving].Post(context.Background(), cell.Leave{})
	g.wait("the ranges are releasing", func() bool { return len(g.leaseTables[leaving].held()) < testRanges/3 })
	select {
	case <-g.drivers[leaving].Left():
		t.Fatal("the stop is complete although a request is in flight")
	default:
	}
	close(busy)
	<-g.drivers[leaving].Left()
	g.waitServed(leaving)
}

// TestLossOfLeaderAndDeputyIsRecovered checks that the cell recovers from the
// failure of both its leader and deputy once an operator has confirmed the loss
// of the leader.
func TestLossOfLeaderAndDeputyIsRecovered(t *testing.T) {
	g := startCell(t, 4)
	g.waitServed()
	leader := g.leader()
	deputy := -1
	g.wait("a deputy is known", func() bool {
		for i, d := range g.drivers {
			if d.View().Self == g.drivers[leader].View().Deputy {
				deputy = i
			}
		}
		return deputy >= 0
	})
	g.kill(leader)
	g.kill(deputy)
	lost := g.drivers[leader].View().Self
	for i, d := range g.drivers {
		if i != leader && i != deputy {
			_ = d.Post(context.Background(), cell.ConfirmLoss{Node: lost, Operator: "anna"})
		}
	}
	g.waitServed(leader, deputy)
}

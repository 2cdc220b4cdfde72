package lease

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/keyspace"
)

func holding(r keyspace.Range, seq uint64, expires clock.Time) cell.Holding {
	return cell.Holding{Grant: cell.Grant{Range: r, Token: cell.Token{Term: 1, Seq: seq}}, Expires: expires}
}

func newTestTable(now *clock.Time) *Table {
	return NewTable(func() clock.Time { return *now })
}

func TestVerdicts(t *testing.T) {
	now := clock.Time(100)
	table := newTestTable(&now)
	parts := keyspace.Divide(4)
	releasing := holding(parts[2], 3, 200)
	releasing.Releasing = true
	table.Store([]cell.Holding{releasing, holding(parts[0], 1, 200), holding(parts[1], 2, 100)})
	for i, want := range []Verdict{Held, Expired, Releasing, NotHeld} {
		for _, p := range []keyspace.Point{parts[i].First, parts[i].Last} {
			if _, _, got := table.Check(p, now); got != want {
				t.Errorf("part %d: %v, want %v", i, got, want)
			}
		}
	}
	if _, v := table.AcquireAny(now); v != Held {
		t.Errorf("any: %v", v)
	}
	if _, v := table.AcquireAny(200); v != NotHeld {
		t.Errorf("any after all leases: %v", v)
	}
}

// TestUseFollowsUnbrokenHolding: a use survives renewals, splits and merges,
// but no time without the lease.
func TestUseFollowsUnbrokenHolding(t *testing.T) {
	now := clock.Time(100)
	halves := keyspace.Divide(2)
	full := keyspace.Full()
	for _, c := range []struct {
		name string
		at   clock.Time
		next []cell.Holding
		want Verdict
	}{
		{"renewed", 150, []cell.Holding{holding(full, 1, 400)}, Held},
		{"renewed too late", 250, []cell.Holding{holding(full, 1, 400)}, NotHeld},
		{"split", 150, []cell.Holding{holding(halves[0], 2, 400), holding(halves[1], 3, 400)}, Held},
		{"taken", 150, nil, NotHeld},
	} {
		now = 100
		table := newTestTable(&now)
		table.Store([]cell.Holding{holding(full, 1, 200)})
		use, v := table.Acquire(halves[1].First, now)
		if v != Held {
			t.Fatal(v)
		}
		now = c.at
		table.Store(c.next)
		if _, _, got := use.Check(now); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
		table.Store([]cell.Holding{holding(full, 9, 400)})
		if _, _, got := use.Check(now); got != c.want {
			t.Errorf("%s, then merged: %v, want %v", c.name, got, c.want)
		}
	}
}

func TestQuiesceWaitsForOverlappingWork(t *testing.T) {
	now := clock.Time(1)
	table := newTestTable(&now)
	halves := keyspace.Divide(2)
	table.Store([]cell.Holding{holding(keyspace.Full(), 1, 100)})
	use, _ := table.Acquire(5, now)
	table.Store([]cell.Holding{holding(halves[1], 3, 100)})
	calls := 0
	table.Quiesce(halves[0], func() { calls++ })
	if calls != 0 || table.InFlight(halves[0]) != 1 {
		t.Fatalf("done %d times with work in flight", calls)
	}
	use.Release()
	if calls != 1 {
		t.Fatalf("done %d times after the work ended", calls)
	}
	table.Quiesce(halves[0], func() { calls++ })
	if calls != 2 {
		t.Error("not done at once without work in flight")
	}
}

// TestNoRequestAfterQuiesce runs requests against hand-overs: once Quiesce
// has answered, no request of the range is in flight.
func TestNoRequestAfterQuiesce(t *testing.T) {
	now := clock.Time(1)
	table := newTestTable(&now)
	held := []cell.Holding{holding(keyspace.Full(), 1, 100)}
	releasing := holding(keyspace.Full(), 1, 100)
	releasing.Releasing = true
	table.Store(held)
	var stop, gone atomic.Bool
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for !stop.Load() {
				use, v := table.Acquire(7, now)
				if v != Held {
					continue
				}
				if gone.Load() {
					t.Error("a request is in flight after Quiesce")
				}
				use.Release()
			}
		})
	}
	for range 2000 {
		table.Store([]cell.Holding{releasing})
		done := make(chan struct{})
		table.Quiesce(keyspace.Full(), func() {
			gone.Store(true)
			close(done)
		})
		<-done
		gone.Store(false)
		table.Store(held)
	}
	stop.Store(true)
	wg.Wait()
}

func TestCheckDoesNotAllocate(t *testing.T) {
	now := clock.Time(1)
	table := newTestTable(&now)
	table.Store([]cell.Holding{holding(keyspace.Full(), 1, 100)})
	if n := testing.AllocsPerRun(100, func() { table.Check(3, now) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// TestAcquireNoticesThatTheTableWasReplaced puts a new table in force between
// the look-up of a grant and the count of its request.
func TestAcquireNoticesThatTheTableWasReplaced(t *testing.T) {
	now := clock.Time(1)
	table := newTestTable(&now)
	table.Store([]cell.Holding{holding(keyspace.Full(), 1, 100)})
	before := table.current.Load()
	table.Store(nil)
	if _, _, stale := table.acquire(before, before.find(7), 7, now); !stale {
		t.Error("a request was counted under a grant that is gone")
	}
	if n := table.InFlight(keyspace.Full()); n != 0 {
		t.Errorf("%d requests in flight", n)
	}
}

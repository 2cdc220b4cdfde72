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

// TestUseRequiresUninterruptedHolding checks that a Use stays valid across renewals,
// splits and merges, but not across an interval in which the lease had expired
// or the range was not held.
func TestUseRequiresUninterruptedHolding(t *testing.T) {
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
		t.Fatalf("done was called %d times with a request in flight", calls)
	}
	use.Release()
	if calls != 1 {
		t.Fatalf("done was called %d times after the request ended, want 1", calls)
	}
	table.Quiesce(halves[0], func() { calls++ })
	if calls != 2 {
		t.Error("done was not called before Quiesce returned, with no request in flight")
	}
}

// TestNoRequestAfterQuiesce runs requests concurrently with handovers: once
// Quiesce has called done, no request of the range may be in flight.
func TestNoRequestAfterQuiesce(t *testing.T) {
	now := clock.Time(1)
	table := newTestTable(&now)
	held := []cell.Holding{holding(keyspace.Full(), 1, 100)}
	releasing := holding(keyspace.Full(), 1, 100)
	releasing.Releasing = true
	table.Store(held)
	var stop, quiesced atomic.Bool
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for !stop.Load() {
				use, v := table.Acquire(7, now)
				if v != Held {
					continue
				}
				if quiesced.Load() {
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
			quiesced.Store(true)
			close(done)
		})
		<-done
		quiesced.Store(false)
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

// TestAcquireNoticesThatTheTableWasReplaced stores new holdings between the
// lookup of a grant and the increment of its counter. The request must not be
// counted under the old grant.
func TestAcquireNoticesThatTheTableWasReplaced(t *testing.T) {
	now := clock.Time(1)
	table := newTestTable(&now)
	table.Store([]cell.Holding{holding(keyspace.Full(), 1, 100)})
	before := table.current.Load()
	table.Store(nil)
	if _, _, stale := table.acquire(before, before.find(7), 7, now); !stale {
		t.Error("a request was counted under a grant that is no longer held")
	}
	if n := table.InFlight(keyspace.Full()); n != 0 {
		t.Errorf("%d requests in flight", n)
	}
}

package runcalls

import (
	"fmt"
	"slices"
	"testing"

	"github.com/parsleystack/parsleystack/clock"
)

func find(t *Table, ids ...string) (Run, bool) { return t.Find(slices.Values(ids)) }

// A call must have the priority of its run only while the run is in progress; an id that was
// made up, or whose run has ended, claims none.
func TestOnlyARunInProgressCounts(t *testing.T) {
	table := NewTable()
	run := Run{Priority: 250, Deadline: clock.Time(7)}
	table.Begin([]byte("r.1"), run)
	for _, ids := range [][]string{{"r.1"}, {"r.1.5", "r.1", "r"}} {
		if got, ok := find(table, ids...); !ok || got != run {
			t.Errorf("%q: %+v, %t", ids, got, ok)
		}
	}
	for _, ids := range [][]string{nil, {""}, {"r"}, {"r.2", "r"}} {
		if got, ok := find(table, ids...); ok {
			t.Errorf("%q: found %+v", ids, got)
		}
	}
	table.End([]byte("r.1"), run)
	if _, ok := find(table, "r.1"); ok || table.Len() != 0 {
		t.Error("a run that has ended is found")
	}
	table.Begin(nil, run)
	if _, ok := find(table, ""); ok {
		t.Error("a run without an id is found")
	}
}

// Copies of one request may run at a time; the end of one must not hide the other, and a call
// gets the lower priority and the later deadline of them.
func TestCopiesOfARun(t *testing.T) {
	table := NewTable()
	urgent, early, late := Run{Priority: 9, Deadline: 1}, Run{Priority: 3, Deadline: 4}, Run{Priority: 3, Deadline: 8}
	for _, run := range []Run{urgent, late, early, late} {
		table.Begin([]byte("r"), run)
	}
	for i, step := range []struct{ end, want Run }{{late, late}, {late, early}, {early, urgent}} {
		table.End([]byte("r"), step.end)
		if got, ok := find(table, "r"); !ok || got != step.want {
			t.Errorf("after %d ends: %+v, want %+v", i+1, got, step.want)
		}
	}
	table.End([]byte("r"), late) // has ended already
	table.End([]byte("r"), urgent)
	if table.Len() != 0 {
		t.Error("runs are left")
	}
}

// A call is found by the id of its run.
func Example() {
	table := NewTable()
	table.Begin([]byte("order-7"), Run{Priority: 200})
	_, ok := table.Find(slices.Values([]string{"order-7"}))
	_, other := table.Find(slices.Values([]string{"order-8"}))
	fmt.Println(ok, other)
	// Output: true false
}

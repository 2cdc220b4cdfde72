package workqueue

import (
	"testing"
	"time"
)

// TestCallsTakeThePriorityOfTheirRuns replays a service at 1.3 times its capacity that gets
// urgent requests, calls of less urgent runs, and requests of those runs' priority. Routes of
// calls have no priority, which is the most urgent one: the calls displaced urgent requests.
// Of their own priority they must be refused last, since a refused call fails a run that holds
// a slot elsewhere.
func TestCallsTakeThePriorityOfTheirRuns(t *testing.T) {
	const slots, length = 18, 40 * time.Second
	load := func(callPriority uint8, call bool) []classCounts {
		return replay(slots, length,
			workload{name: "next-leg", perSecond: 68, work: 190 * time.Millisecond, priority: 9, objective: 500 * time.Millisecond, deadline: time.Second}, // 12.9 slots
			workload{name: "closure-lookup", perSecond: 90, work: 60 * time.Millisecond, priority: callPriority, objective: 240 * time.Millisecond, deadline: 700 * time.Millisecond, call: call},
			workload{name: "board", perSecond: 20, work: 250 * time.Millisecond, priority: 3, objective: 800 * time.Millisecond, deadline: 2 * time.Second}) // 5 slots
	}
	before, after := load(9, false), load(3, true)
	t.Logf("urgent, calls, others: before %+v, after %+v", before, after)
	if after[0].timely() < 0.97 || after[0].timely() <= before[0].timely() {
		t.Errorf("%.3f of the urgent requests meet their objective, %.3f with calls of the most urgent priority; want 0.97", after[0].timely(), before[0].timely())
	}
	// The urgent requests leave 5.1 slots for the 5.4 of the calls.
	if calls, others := after[1].served(), after[2].served(); calls < 0.75 || others > calls/2 {
		t.Errorf("%.3f of the calls and %.3f of the other requests of their priority are served", calls, others)
	}
}

// A call that would miss its objective, but not its deadline, was refused, which failed its
// run.
func TestCallIsRefusedOnlyForItsDeadline(t *testing.T) {
	for _, call := range []bool{false, true} {
		got := replay(4, 40*time.Second,
			workload{name: "closure-lookup", perSecond: 36, work: 100 * time.Millisecond, objective: 150 * time.Millisecond, deadline: 2 * time.Second, call: call})[0]
		if served := got.served(); call != (served > 0.97) {
			t.Errorf("calls: %t: %.3f are served, %+v; the load needs 3.6 of 4 slots", call, served, got)
		}
	}
}

package workqueue

import (
	"testing"
	"time"
)

// TestReturnsAfterABurst replays 3 s at 1.7 times the capacity, with callers that return once
// at the stated time. Callers that are all told to return later than they can be served in
// time displace, when they return, requests that could be (docs/design/0011): the slots must
// serve about what they can within the objective.
func TestReturnsAfterABurst(t *testing.T) {
	const slots, perSecond, before, burst, length = 18, 90.0, 5 * time.Second, 3 * time.Second, 14 * time.Second // 90 a second are the capacity
	usual := workload{name: "match-history", perSecond: 0.6 * perSecond, work: 200 * time.Millisecond, objective: 500 * time.Millisecond, deadline: 2 * time.Second, returns: true}
	extra := usual
	extra.perSecond, extra.from, extra.until = 1.1*perSecond, before, before+burst
	var all classCounts
	for _, c := range replay(slots, length, usual, extra) {
		all.arrived += c.arrived
		all.inTime += c.inTime
		all.late += c.late
		all.refusedTwice += c.refusedTwice
	}
	// 0.7 of the capacity arrives in vain for as long as the burst lasts.
	if best := float64(all.arrived) - 0.7*perSecond*burst.Seconds(); float64(all.inTime) < 0.95*best {
		t.Errorf("%d requests are served in time, %.0f at best: %+v", all.inTime, best, all)
	}
	if twice := float64(all.refusedTwice) / float64(all.arrived); twice > 0.22 {
		t.Errorf("%.2f of the requests are refused twice, %+v", twice, all)
	}
}

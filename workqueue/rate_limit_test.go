package workqueue

import (
	"testing"
	"time"
)

// limited returns a queue for a target with free slots that accepts some requests a second.
func limited(slots int, perSecond float64) *Queue {
	q := New(slots)
	q.SetRateLimit(perSecond, replayStart)
	return q
}

// A target with 18 slots accepts 20 requests a second and is offered 60, a third of them
// urgent. The urgent ones have it almost to themselves, and nobody waits in vain.
func TestRateLimitServesUrgentRequestsFirst(t *testing.T) {
	p := replayOn(limited(18, 20), 60*time.Second,
		workload{name: "view", perSecond: 45, work: 90 * time.Millisecond, objective: 300 * time.Millisecond, deadline: 800 * time.Millisecond},
		workload{name: "pay", perSecond: 15, work: 60 * time.Millisecond, priority: 2, objective: 250 * time.Millisecond, deadline: 500 * time.Millisecond})
	view, pay := p.counts[0], p.counts[1]
	if pay.timely() < 0.85 {
		t.Errorf("%.2f of the urgent requests meet their objective, 0.85 wanted: %+v", pay.timely(), pay)
	}
	served := float64(view.inTime+view.late+pay.inTime+pay.late) / 45
	if served < 0.9*20 || served > 1.05*20 {
		t.Errorf("%.1f requests a second are served at a limit of 20: %+v, %+v", served, view, pay)
	}
	if late := view.late + pay.late; float64(late) > 0.1*served*45 {
		t.Errorf("%d of %.0f responses are late; requests that the limit can't serve in time are refused at once", late, served*45)
	}
	for i := range p.starts {
		if k := i + 125; k < len(p.starts) && p.starts[k].Sub(p.starts[i]) < 4*time.Second {
			t.Fatalf("126 requests within %v", p.starts[k].Sub(p.starts[i]))
		}
	}
}

// What the rate can't serve before its deadline is refused at its arrival, or when the
// limit begins, with the limit as reason.
func TestRequestsBeyondTheRateLimitAreRefusedAtOnce(t *testing.T) {
	now := replayStart
	item := func(id uint64) Item {
		return Item{ID: id, Class: "view", Arrived: now, Objective: now.Add(300 * time.Millisecond), Deadline: now.Add(800 * time.Millisecond)}
	}
	q := New(1)
	if verdict, _ := q.Arrive(item(1), now); verdict != Start {
		t.Fatalf("verdict %v for an idle target", verdict)
	}
	for id := uint64(2); id < 4; id++ {
		q.waiting = append(q.waiting, item(id))
	}
	started, refused := q.SetRateLimit(2, now) // one request every 500 ms
	if len(started) != 0 || len(refused) != 1 || !refused[0].RateLimited || !refused[0].Late || refused[0].RetryAfter < 500*time.Millisecond {
		t.Errorf("started %v, refused %+v, want the second one refused for a second", started, refused)
	}
	if verdict, refusal := q.Arrive(item(4), now); verdict != Refuse || !refusal.RateLimited {
		t.Errorf("verdict %v, %+v for a request that must wait for a second", verdict, refusal)
	}
	if wait, ok := q.NextStart(now); !ok || wait != 500*time.Millisecond {
		t.Errorf("the next start is in %v, %v", wait, ok)
	}
	q.Finish(1, Answered, 20*time.Millisecond, now.Add(20*time.Millisecond))
	if started, _ := q.Advance(now.Add(500 * time.Millisecond)); len(started) != 1 {
		t.Errorf("started %v after 500 ms, want one request", started)
	}
	if started, refused := q.RemoveRateLimit(now.Add(510 * time.Millisecond)); len(started)+len(refused) != 0 || q.RateLimited() {
		t.Errorf("started %v, refused %v", started, refused)
	}
}

// A request that was not sent does not count for the limit.
func TestRequestsThatAreNotSentLeaveTheRateLimitAlone(t *testing.T) {
	q := limited(4, 1)
	now := replayStart.Add(time.Second)
	item := Item{ID: 1, Class: "view", Arrived: now, Objective: now.Add(time.Second), Deadline: now.Add(2 * time.Second)}
	for id := uint64(1); id < 5; id++ {
		item.ID = id
		if verdict, _ := q.Arrive(item, now); verdict != Start {
			t.Fatalf("request %d: verdict %v", id, verdict)
		}
		q.Finish(id, NotSent, 0, now)
	}
}

// Free slots of a limited target must not look idle to others.
func TestRateLimitedTargetsLookOccupied(t *testing.T) {
	q := limited(18, 20)
	p := replayOn(q, 20*time.Second, workload{name: "view", perSecond: 60, work: 90 * time.Millisecond, objective: 300 * time.Millisecond, deadline: 800 * time.Millisecond})
	end := p.starts[len(p.starts)-1]
	if occupied, slots := q.Occupancy(end); slots != 2 || occupied < slots {
		t.Errorf("%d of %d slots are occupied, want all of 2: 20 requests a second of 90 ms", occupied, slots)
	}
	if load := q.OfferedLoad(end); load < 2 {
		t.Errorf("the offered load is %.1f of what the limit allows, want about 3", load)
	}
	q.RemoveRateLimit(end)
	if _, slots := q.Occupancy(end); slots != 18 {
		t.Errorf("%d slots without a limit, want 18", slots)
	}
}

package dispatch

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/outcome"
)

const deadline = clock.Time(time.Second)

func notRun(reason outcome.Reason, newerOwner bool) Event {
	return Event{Kind: Answered, NewerOwner: newerOwner, Result: outcome.Result{Kind: outcome.NotRun, Reason: reason}}
}

func unknown(reason outcome.Reason) Event {
	return Event{Kind: Answered, Result: outcome.Result{Kind: outcome.Unknown, Reason: reason}}
}

func TestDecisions(t *testing.T) {
	keyed := Constraints{Keyed: true, Deadline: deadline}
	read := Constraints{Keyed: true, Idempotent: true, Deadline: deadline}
	unkeyed := Constraints{Deadline: deadline}
	for _, c := range []struct {
		name string
		rule Constraints
		ev   Event
		now  clock.Time
		want ActionKind
		kind outcome.Kind // for Finish
	}{
		{"arrived", keyed, Event{Kind: Arrived}, 1, Send, 0},
		{"arrived late", keyed, Event{Kind: Arrived}, deadline, Finish, outcome.NotRun},
		{"no route", keyed, Event{Kind: NoRoute}, 1, Hold, 0},
		{"done", keyed, Event{Kind: Answered, Result: outcome.Result{Kind: outcome.Done}}, 1, Finish, outcome.Done},
		{"wrong owner, newer owner in table", keyed, notRun(outcome.WrongOwner, true), 1, Send, 0},
		{"wrong owner, no newer owner", keyed, notRun(outcome.WrongOwner, false), 1, Hold, 0},
		{"moving", keyed, notRun(outcome.Moving, false), 1, Hold, 0},
		{"moving at the deadline", keyed, notRun(outcome.Moving, false), deadline, Finish, outcome.NotRun},
		{"draining, without key", unkeyed, notRun(outcome.Draining, false), 1, SendElsewhere, 0},
		{"overloaded", keyed, notRun(outcome.Overloaded, false), 1, Finish, outcome.NotRun},
		{"overloaded, without key", unkeyed, notRun(outcome.Overloaded, false), 1, SendElsewhere, 0},
		{"duplicate", keyed, unknown(outcome.Duplicate), 1, Finish, outcome.Unknown},
		{"unknown", keyed, unknown(outcome.ConnectionLost), 1, Finish, outcome.Unknown},
		{"unknown read", read, unknown(outcome.ConnectionLost), 1, Send, 0},
		{"unknown read at the deadline", read, unknown(outcome.ConnectionLost), deadline, Finish, outcome.Unknown},
		{"peer lost before sending", keyed, Event{Kind: PeerFailed}, 1, Hold, 0},
		{"peer lost after sending", keyed, Event{Kind: PeerFailed, Sent: true}, 1, Finish, outcome.Unknown},
		{"peer lost after sending a read", read, Event{Kind: PeerFailed, Sent: true}, 1, Hold, 0},
		{"owner replaced under a read", read, Event{Kind: OwnerReplaced, Sent: true}, 1, Hold, 0},
		{"owner replaced", keyed, Event{Kind: OwnerReplaced, Sent: true}, 1, Finish, outcome.Unknown},
		{"deadline in flight", keyed, Event{Kind: DeadlinePassed, Sent: true}, deadline, Finish, outcome.Unknown},
		{"deadline in the hold queue", keyed, Event{Kind: DeadlinePassed}, deadline, Finish, outcome.NotRun},
		{"hold queue full", keyed, Event{Kind: HoldRefused}, 1, Finish, outcome.NotRun},
	} {
		r := Request{Constraints: c.rule}
		got := r.Step(c.ev, c.now)
		if got.Kind != c.want || got.Result.Kind != c.kind {
			t.Errorf("%s: %+v, want action %d, outcome %v", c.name, got, c.want, c.kind)
		}
	}
}

// TestHoldEndsWithRetryAfter checks that a request without an owner is held for
// at least maxHold and then answered with a RetryAfter.
func TestHoldEndsWithRetryAfter(t *testing.T) {
	r := Request{Constraints: Constraints{Keyed: true, Deadline: clock.Time(time.Minute)}}
	for now := clock.Time(1); now < clock.Time(10*time.Second); now = now.Add(100 * time.Millisecond) {
		got := r.Step(notRun(outcome.Moving, false), now)
		if got.Kind == Hold {
			continue
		}
		if got.Kind != Finish || got.Result.RetryAfter == 0 || now.Sub(1) < maxHold {
			t.Errorf("at %v: %+v", now, got)
		}
		return
	}
	t.Error("the request is still held after 10 s")
}

// TestOverloadedNewOwnerIsRetried checks that a request which was held for a new
// owner is held again, at most maxOverloadHolds times, if that owner is
// overloaded.
func TestOverloadedNewOwnerIsRetried(t *testing.T) {
	r := Request{Constraints: Constraints{Keyed: true, Deadline: clock.Time(time.Minute)}}
	r.Step(notRun(outcome.Moving, false), 1)
	r.Step(Event{Kind: Refreshed}, 2)
	if got := r.Step(notRun(outcome.Overloaded, false), 3); got.Kind != Hold {
		t.Errorf("after a hold: %+v, want another hold", got)
	}
	for range maxOverloadHolds - 1 {
		r.Step(notRun(outcome.Overloaded, false), 3)
	}
	if got := r.Step(notRun(outcome.Overloaded, false), 3); got.Kind != Finish || got.Result.RetryAfter == 0 {
		t.Errorf("after the last hold: %+v, want Finish with a RetryAfter", got)
	}
}

// TestHoldReasonIsReportedAtDeadline checks that a held request whose deadline
// passes is answered with the reason for the hold, not with DeadlineExceeded.
func TestHoldReasonIsReportedAtDeadline(t *testing.T) {
	for _, last := range []Event{notRun(outcome.DeadlineExceeded, false), {Kind: DeadlinePassed}} {
		r := Request{Constraints: Constraints{Keyed: true, Deadline: deadline}}
		r.Step(notRun(outcome.Moving, false), 1)
		if got := r.Step(last, 2); got.Kind != Finish || got.Result.Reason != outcome.Moving {
			t.Errorf("%+v: %+v", last, got)
		}
	}
}

func TestBudgetBoundsRetries(t *testing.T) {
	var b Budget
	retries := 0
	for range 1000 {
		b.Earn(0.1)
		r := Request{Constraints: Constraints{Keyed: true, Idempotent: true, Deadline: deadline, Service: &b}}
		if r.Step(unknown(outcome.ConnectionLost), 1).Kind == Send {
			retries++
		}
	}
	if retries < 100 || retries > 100+budgetBurst {
		t.Errorf("%d retries for 1000 requests at a ratio of 0.1", retries)
	}
}

// TestNothingRunsTwice applies random events to requests: a non-idempotent
// request is never sent again once an attempt may have run, and a request with
// an attempt that may have run is never answered with NotRun.
func TestNothingRunsTwice(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 5000
	properties := gopter.NewProperties(parameters)
	properties.Property("at most once", prop.ForAll(func(idempotent, keyed bool, raw []uint16) bool {
		r := Request{Constraints: Constraints{Idempotent: idempotent, Keyed: keyed, Deadline: deadline}}
		mayHaveRun := false
		now := clock.Time(1)
		action := r.Step(Event{Kind: Arrived}, now)
		for _, x := range raw {
			now = now.Add(time.Duration(x%97) * time.Millisecond)
			if action.Kind == Finish {
				return !mayHaveRun || action.Result.Kind != outcome.NotRun
			}
			if mayHaveRun && !idempotent {
				return false
			}
			var ev Event
			if action.Kind == Hold {
				ev = Event{Kind: []EventKind{Refreshed, HoldRefused, DeadlinePassed, CallerLeft}[x%4]}
			} else {
				ev = randomAnswer(x)
				mayHaveRun = mayHaveRun || ev.Sent || ev.Result.Kind == outcome.Unknown
			}
			action = r.Step(ev, now)
		}
		return true
	}, gen.Bool(), gen.Bool(), gen.SliceOfN(20, gen.UInt16())))
	properties.TestingRun(t)
}

func randomAnswer(x uint16) Event {
	reason := outcome.Reason(1 + x>>4%16)
	switch x % 8 {
	case 0:
		return Event{Kind: PeerFailed, Sent: x&0x100 != 0}
	case 1:
		return unknown(reason)
	case 2:
		return Event{Kind: DeadlinePassed, Sent: x&0x100 != 0}
	case 3:
		return Event{Kind: NoRoute}
	case 4:
		return Event{Kind: OwnerReplaced, Sent: x&0x100 != 0}
	}
	return notRun(reason, x&0x200 != 0)
}

// TestHoldQueueEvictsLatestDeadline checks that a full queue evicts the
// request with the latest deadline.
func TestHoldQueueEvictsLatestDeadline(t *testing.T) {
	q := NewHoldQueue(2)
	q.Add(Held{ID: 1, Deadline: 30})
	q.Add(Held{ID: 2, Deadline: 10})
	if refused, full := q.Add(Held{ID: 3, Deadline: 20}); !full || refused.ID != 1 {
		t.Errorf("refused %+v", refused)
	}
	if refused, full := q.Add(Held{ID: 4, Deadline: 40}); !full || refused.ID != 4 {
		t.Errorf("refused %+v", refused)
	}
	q.Remove(3)
	if got := q.Take(); len(got) != 1 || got[0].ID != 2 || q.Len() != 0 {
		t.Errorf("took %+v", got)
	}
}

// TestFailedRequestsHaveRetryAfter checks that every failed request
// whose retry may succeed is answered with a RetryAfter.
func TestFailedRequestsHaveRetryAfter(t *testing.T) {
	keyed := Constraints{Keyed: true, Deadline: deadline}
	for _, ev := range []Event{
		unknown(outcome.ConnectionLost),
		unknown(outcome.Duplicate),
		{Kind: PeerFailed, Sent: true},
		{Kind: HoldRefused},
		{Kind: DeadlinePassed},
		{Kind: DeadlinePassed, Sent: true},
		notRun(outcome.Overloaded, false),
		notRun(outcome.RetryBudget, false),
	} {
		r := Request{Constraints: keyed}
		if a := r.Step(ev, 1); a.Kind != Finish || a.Result.RetryAfter <= 0 {
			t.Errorf("%+v: action %+v", ev, a)
		}
	}
	r := Request{Constraints: keyed}
	if a := r.Step(notRun(outcome.BadRequest, false), 1); a.Result.RetryAfter != 0 {
		t.Errorf("a malformed request has a RetryAfter: %+v", a)
	}
}

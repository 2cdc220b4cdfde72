package ownertable

import (
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// A row is granted whole, split for its load, and the rest is taken for another
// target before the next heartbeat. The rest has an identity under which it was
// never granted; the target holds it and works on it all the same.
func TestRestOfASplitRowIsNotFreedWhileHeld(t *testing.T) {
	for name, later := range map[string][]Row{
		"split": {
			{Range: Range{From: 100, To: 199}, Token: 7, Revoked: RevokedToMove},
			{Range: Range{From: 200, To: 300}, Token: 7, Revoked: RevokedToMove},
		},
		"first part stays": {
			{Range: Range{From: 100, To: 199}, Token: 7},
			{Range: Range{From: 200, To: 300}, Token: 7, Revoked: RevokedToMove},
		},
		"joined": {{Range: Range{From: 100, To: 400}, Token: 9, Revoked: RevokedToMove}},
	} {
		t.Run(name, func(t *testing.T) {
			now := clock.Time(time.Hour)
			k := NewKeeper(now.Add(-time.Minute))
			beat := func(seq uint64, rows []Row, held ...Held) Answer {
				now = now.Add(900 * time.Millisecond)
				return k.Heartbeat(rows, &Report{Seq: seq, Held: held}, LeaseTime, 10*time.Second, now)
			}
			whole := Row{Range: Range{From: 100, To: 300}, Token: 7}
			beat(1, []Row{whole})
			held := Held{Range: whole.Range, Token: 7}
			if a := beat(2, later, held); len(a.Freed) > 0 {
				t.Fatalf("%v are freed while the target holds them", a.Freed)
			}
			if a := beat(3, later, held); len(a.Freed) > 0 {
				t.Fatalf("%v are freed while the target works on them", a.Freed)
			}
			revoked := 0
			for i := range later {
				if later[i].Revoked != NotRevoked {
					revoked++
				}
			}
			if a := beat(4, later); len(a.Freed) != revoked {
				t.Errorf("%v are freed after the target let go of %d rows", a.Freed, revoked)
			}
		})
	}
}

// A target that falls silent after the split has let go when its hold ends, and
// not before.
func TestRestOfASplitRowIsHeldUntilItsHoldEnds(t *testing.T) {
	now := clock.Time(time.Hour)
	k := NewKeeper(now.Add(-time.Minute))
	a := k.Heartbeat([]Row{{Range: Range{From: 100, To: 300}, Token: 7}}, &Report{Seq: 1}, LeaseTime, 10*time.Second, now)
	rest := []Row{{Range: Range{From: 200, To: 300}, Token: 7, Revoked: RevokedToMove}}
	if freed := k.Lapsed(rest, now.Add(a.Hold-time.Millisecond)); len(freed) > 0 {
		t.Errorf("%v are freed before the hold of %v ends", freed, a.Hold)
	}
	if freed := k.Lapsed(rest, now.Add(HoldEnds(a.Hold))); len(freed) != 1 {
		t.Errorf("%v are freed when the hold has ended", freed)
	}
}

package ownertable

import (
	"testing"
	"time"

	"github.com/parsleystack/parsleystack/clock"
)

// TestRestOfASplitShardIsNotReleasedWhileHeld guards against releasing part of a
// shard that the target still holds. It happens when a granted shard is split
// because of load and its second part is revoked before the next heartbeat: the
// part has an ID under which it was never granted.
func TestRestOfASplitShardIsNotReleasedWhileHeld(t *testing.T) {
	for name, later := range map[string][]Shard{
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
			tracker := NewGrantTracker(now.Add(-time.Minute))
			heartbeat := func(seq uint64, shards []Shard, held ...Held) HeartbeatReply {
				now = now.Add(900 * time.Millisecond)
				return tracker.Heartbeat(shards, &Report{Seq: seq, Held: held}, LeaseTime, 10*time.Second, now)
			}
			whole := Shard{Range: Range{From: 100, To: 300}, Token: 7}
			heartbeat(1, []Shard{whole})
			held := Held{Range: whole.Range, Token: 7}
			if a := heartbeat(2, later, held); len(a.Released) > 0 {
				t.Fatalf("%v are released while the target holds them", a.Released)
			}
			if a := heartbeat(3, later, held); len(a.Released) > 0 {
				t.Fatalf("%v are released while the target still runs requests for them", a.Released)
			}
			revoked := 0
			for i := range later {
				if later[i].Revoked != NotRevoked {
					revoked++
				}
			}
			if a := heartbeat(4, later); len(a.Released) != revoked {
				t.Errorf("%v are released after the target released %d shards", a.Released, revoked)
			}
		})
	}
}

// TestRestOfASplitShardIsHeldUntilItsGrantExpires checks that the second part of a
// split shard counts as released when the grant of the whole shard has expired,
// and not before, if the target sends no further heartbeats.
func TestRestOfASplitShardIsHeldUntilItsGrantExpires(t *testing.T) {
	now := clock.Time(time.Hour)
	tracker := NewGrantTracker(now.Add(-time.Minute))
	a := tracker.Heartbeat([]Shard{{Range: Range{From: 100, To: 300}, Token: 7}}, &Report{Seq: 1}, LeaseTime, 10*time.Second, now)
	rest := []Shard{{Range: Range{From: 200, To: 300}, Token: 7, Revoked: RevokedToMove}}
	if released := tracker.Expired(rest, now.Add(a.TTL-time.Millisecond)); len(released) > 0 {
		t.Errorf("%v are released before the grant with a TTL of %v expires", released, a.TTL)
	}
	if released := tracker.Expired(rest, now.Add(GrantExpiryBound(a.TTL))); len(released) != 1 {
		t.Errorf("%v are released after the grant has expired, want one shard", released)
	}
}

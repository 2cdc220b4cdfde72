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
			report := func(shards []Shard, r *Report) HeartbeatReply {
				now = now.Add(900 * time.Millisecond)
				return tracker.Heartbeat(shards, r, LeaseTime, 10*time.Second, now)
			}
			heartbeat := func(seq uint64, shards []Shard, held ...Held) HeartbeatReply {
				return report(shards, &Report{Seq: seq, Held: held})
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
			if a := report(later, &Report{Seq: 4, Released: []Released{{Range: whole.Range}}}); len(a.Released) != revoked {
				t.Errorf("%v are released after the target released %d shards", a.Released, revoked)
			}
		})
	}
}

// A heartbeat without the lists of keys, of another writer under the target's name, counted
// as the release of every shard that the last reply had omitted.
func TestShardThatIsNeitherListedNorReleasedIsHeld(t *testing.T) {
	now := clock.Time(time.Hour)
	tracker := NewGrantTracker(now.Add(-time.Minute))
	heartbeat := func(shard Shard, r Report) HeartbeatReply {
		now = now.Add(100 * time.Millisecond)
		return tracker.Heartbeat([]Shard{shard}, &r, LeaseTime, 10*time.Second, now)
	}
	shard := Shard{Range: Range{From: 100, To: 300}, Token: 7}
	reply := heartbeat(shard, Report{Seq: 1})
	expiry := now.Add(GrantExpiryBound(reply.TTL))
	shard.Revoked = RevokedToMove
	heartbeat(shard, Report{Seq: 2, Held: []Held{{Range: shard.Range, Token: 7}}})
	if a := heartbeat(shard, Report{Seq: 1 << 40}); len(a.Released) > 0 {
		t.Error("the shard is released by a heartbeat that does not mention it")
	}
	if a := heartbeat(shard, Report{Seq: 1<<40 + 1, Released: []Released{{Range: Range{From: 100, To: 299}}}}); len(a.Released) > 0 {
		t.Error("the shard is released by the release of a part")
	}
	now = expiry
	if a := heartbeat(shard, Report{Seq: 1<<40 + 2}); len(a.Released) != 1 {
		t.Errorf("%v are released after the grant has expired, want one shard", a.Released)
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

package sidecar

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/metastore"
	"github.com/parsleystack/parsleystack/ownertable"
	"github.com/parsleystack/parsleystack/platform"
)

// A daemon that was restarted while the store refuses it gets a heartbeat before it has
// read its earlier record. It took the target for a new one without grants, and so
// declared its revoked shards released while the target held them.
func TestGrantsOfEarlierProcessOutliveUnreadDirectory(t *testing.T) {
	s := &platform.Settings{Instance: "node-0", LinkAddr: "127.0.0.1:1", TargetAddr: "127.0.0.1:2", Service: keyedService, MaxGrantTTL: 10 * time.Second}
	c := New(s, zap.NewNop(), func() uint64 { return 0 }).control
	target := ownertable.Target{ID: "t-0", StartTime: 5}
	c.updateTarget(&platform.Heartbeat{Addr: s.TargetAddr, Service: keyedService, Target: target, Seq: 9, Slots: 8}, clock.Now())

	earlier := fleet.Member{
		Instance: "node-0", Incarnation: 1, Revision: 1, Addr: s.LinkAddr, Service: keyedService,
		TargetID: target.ID, TargetStartMS: target.StartTime, Slots: 8, State: fleet.TargetReady,
	}
	shard := ownertable.Shard{
		Range: ownertable.Range{To: ownertable.MaxKey}, Token: 1, Owner: c.owner(), Revoked: ownertable.RevokedSuspected,
		NextOwner: ownertable.Owner{Instance: "node-1", Target: ownertable.Target{ID: "t-1", StartTime: 5}},
	}
	c.applyDirectory(0, metastore.Batch{End: 2, Records: []metastore.Record{
		{Key: memberPrefix + "node-0", Value: earlier.Encode()},
		{Key: tableKey(keyedService, 0), Value: (&ownertable.Table{Shards: []ownertable.Shard{shard}}).Encode(), Offset: 1},
	}}, clock.Now(), true)

	report := &ownertable.Report{Seq: 10, Held: []ownertable.Held{{Range: shard.Range, Token: shard.Token}}}
	if a := c.agent.Heartbeat(c.owner(), report, nil, s.MaxGrantTTL, clock.Now(), clock.Now()); len(a.Released) > 0 {
		t.Errorf("%d shards count as released that the target lists as held", len(a.Released))
	}
}

// The record that a restarted daemon reads may name the target before the present one,
// to which the earlier process has granted shards since. It took the present one for a
// new target without grants.
func TestGrantsOfEarlierProcessOutliveOutdatedRecord(t *testing.T) {
	s := &platform.Settings{Instance: "node-0", LinkAddr: "127.0.0.1:1", TargetAddr: "127.0.0.1:2", Service: keyedService, MaxGrantTTL: 10 * time.Second}
	c := New(s, zap.NewNop(), func() uint64 { return 0 }).control
	earlier := fleet.Member{
		Instance: "node-0", Incarnation: 1, Revision: 1, Addr: s.LinkAddr, Service: keyedService,
		TargetID: "t-0", TargetStartMS: 5, Slots: 8, State: fleet.TargetReady,
	}
	present := ownertable.Target{ID: "t-1", StartTime: 6}
	shard := ownertable.Shard{
		Range: ownertable.Range{To: ownertable.MaxKey}, Token: 1, Owner: ownertable.Owner{Instance: "node-0", Target: present}, Revoked: ownertable.RevokedSuspected,
		NextOwner: ownertable.Owner{Instance: "node-1", Target: ownertable.Target{ID: "t-2", StartTime: 5}},
	}
	c.applyDirectory(0, metastore.Batch{End: 2, Records: []metastore.Record{
		{Key: memberPrefix + "node-0", Value: earlier.Encode()},
		{Key: tableKey(keyedService, 0), Value: (&ownertable.Table{Shards: []ownertable.Shard{shard}}).Encode(), Offset: 1},
	}}, clock.Now(), true)
	c.updateTarget(&platform.Heartbeat{Addr: s.TargetAddr, Service: keyedService, Target: present, Seq: 9, Slots: 8}, clock.Now())

	report := &ownertable.Report{Seq: 10, Held: []ownertable.Held{{Range: shard.Range, Token: shard.Token}}}
	if a := c.agent.Heartbeat(c.owner(), report, nil, s.MaxGrantTTL, clock.Now(), clock.Now()); len(a.Released) > 0 {
		t.Errorf("%d shards count as released that the target lists as held", len(a.Released))
	}
}

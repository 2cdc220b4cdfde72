package sidecar

import (
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/metastore"
)

func (c *control) takeMember(r *metastore.Record) error {
	m, err := fleet.DecodeMember(r.Value)
	if err != nil {
		return err
	}
	if m.Instance == c.self.Instance {
		c.takeOwnMember(m)
		return nil
	}
	c.learn(m)
	return nil
}

// learn takes another daemon's record from the store.
func (c *control) learn(m *fleet.Member) {
	now := clock.Now()
	if m.Gone {
		if p := c.dir.Peer(ident.Instance(m.Instance)); p != nil && !p.Member.Newer(m) {
			c.dir.Remove(ident.Instance(m.Instance))
			delete(c.silent, ident.Instance(m.Instance))
			c.stale = true
		}
		return
	}
	if !c.dir.Learn(m, now) {
		return
	}
	c.agent.Changed(now)
	c.stale = true
	c.logPeer(m, true)
}

func (c *control) logPeer(m *fleet.Member, stored bool) {
	logevent.Log(c.log, logevent.PeerJoined, zap.String("daemon", m.Instance), zap.Uint64("incarnation", m.Incarnation),
		zap.Uint64("revision", m.Revision), zap.String("service", m.Service), zap.String("target", m.TargetID),
		zap.Stringer("state", m.State), zap.Bool("stored", stored))
}

// resumeSelf continues what an earlier process of this instance recorded. A new
// daemon waits a while for its target, since each record makes all others read.
func (c *control) resumeSelf() {
	if c.self.State != fleet.TargetUnknown {
		c.d.members.request(c.self)
		return
	}
	c.registerAt = clock.Now().Add(targetWait)
}

// registerLate records a daemon whose target stays away.
func (c *control) registerLate(now clock.Time) {
	if c.registerAt != clock.Never && !now.Before(c.registerAt) {
		c.registerAt = clock.Never
		c.d.members.request(c.self)
	}
}

// takeOwnMember takes this instance's record from the store: its own, or that
// of an earlier process.
func (c *control) takeOwnMember(m *fleet.Member) {
	switch {
	case m.Gone:
		c.agent.Left()
		c.self.JoinedMS = time.Now().UnixMilli()
		c.changeSelf()
	case m.Incarnation == c.self.Incarnation:
		if !c.agent.IsMember() {
			c.agent.Joined(clock.Now())
			logevent.Log(c.log, logevent.MemberRecorded, zap.Uint64("incarnation", m.Incarnation), zap.Uint64("revision", m.Revision))
		}
	case m.Newer(&c.self):
		c.self.Incarnation = m.Incarnation + 1
		c.inherit(m)
		c.changeSelf()
	default:
		c.inherit(m)
	}
}

// inherit takes over what an earlier process knew of the target, until a
// heartbeat says otherwise.
func (c *control) inherit(m *fleet.Member) {
	if m.Service == c.self.Service {
		c.self.JoinedMS = m.JoinedMS
	}
	if c.self.State != fleet.TargetUnknown {
		return
	}
	c.self.Service, c.self.TargetID, c.self.TargetBorn, c.self.Slots, c.self.State = m.Service, m.TargetID, m.TargetBorn, m.Slots, m.State
	c.beats.inherited(clock.Now())
	c.changeSelf()
	c.d.backend.setTarget(&c.self, clock.Never)
}

// changeSelf publishes a change of the own record.
func (c *control) changeSelf() {
	c.self.Revision++
	c.status.changedSeq = c.status.seq + 1
	c.registerAt = clock.Never
	c.stale = true
	c.agent.Changed(clock.Now())
	if c.loaded {
		c.d.members.request(c.self)
	}
	c.status.soon = true
}

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

func (c *control) applyMember(r *metastore.Record) error {
	m, err := fleet.DecodeMember(r.Value)
	if err != nil {
		return err
	}
	if r.Key != memberPrefix+m.Instance {
		return &fleet.MemberError{Reason: "it names the instance " + m.Instance + ", whose key is another one"}
	}
	if m.Instance == c.self.Instance {
		c.applyOwnMember(m)
		return nil
	}
	c.applyPeer(m)
	return nil
}

// applyPeer applies another daemon's record from the store.
func (c *control) applyPeer(m *fleet.Member) {
	now := clock.Now()
	if m.Removed {
		if p := c.dir.Peer(ident.Instance(m.Instance)); p != nil && !p.Member.Newer(m) {
			c.dir.Remove(ident.Instance(m.Instance))
			delete(c.suspected, ident.Instance(m.Instance))
			c.viewStale = true
		}
		return
	}
	joined := c.isNewProcess(m)
	if !c.dir.ApplyMember(m, now) {
		return
	}
	if joined {
		c.introduceEvidence(c.dir.Peer(ident.Instance(m.Instance)))
	}
	c.agent.MembershipChanged(now)
	c.viewStale = true
	c.logPeer(m, true)
}

// isNewProcess reports whether a record is of a process that the directory does not have.
func (c *control) isNewProcess(m *fleet.Member) bool {
	p := c.dir.Peer(ident.Instance(m.Instance))
	return p == nil || p.Member.Incarnation != m.Incarnation
}

func (c *control) logPeer(m *fleet.Member, stored bool) {
	logevent.Log(c.log, logevent.PeerJoined, zap.String("daemon", m.Instance), zap.Uint64("incarnation", m.Incarnation),
		zap.Uint64("revision", m.Revision), zap.String("service", m.Service), zap.String("target", m.TargetID),
		zap.Stringer("state", m.State), zap.Bool("stored", stored))
}

// registerSelf writes the own record if an earlier process of this instance had a
// target. A new daemon waits up to targetStartWait for its target first, since each
// record makes all other daemons read.
func (c *control) registerSelf() {
	if c.self.State != fleet.TargetUnknown {
		c.d.members.request(c.self)
		return
	}
	c.registerAt = clock.Now().Add(targetStartWait)
}

// registerWithoutTarget writes the own record if no target has started in time.
func (c *control) registerWithoutTarget(now clock.Time) {
	if c.registerAt != clock.Never && !now.Before(c.registerAt) {
		c.registerAt = clock.Never
		c.d.members.request(c.self)
	}
}

// applyOwnMember applies this instance's record from the store, which may have been
// written by an earlier process.
func (c *control) applyOwnMember(m *fleet.Member) {
	if !m.Removed {
		c.recordRead(m)
	}
	switch {
	case m.Removed:
		c.agent.Left()
		c.forgetRecord()
		c.self.JoinedMS = time.Now().UnixMilli()
		c.selfChanged()
	case m.Incarnation == c.self.Incarnation:
		if !c.agent.IsMember() {
			c.agent.Joined(clock.Now(), c.recordAge())
			logevent.Log(c.log, logevent.MemberRecorded, zap.Uint64("incarnation", m.Incarnation), zap.Uint64("revision", m.Revision))
		}
	case m.Newer(&c.self):
		c.self.Incarnation = m.Incarnation + 1
		c.forgetRecord()
		c.inheritTarget(m)
		c.selfChanged()
	default:
		c.inheritTarget(m)
	}
}

// inheritTarget uses the target of an earlier process's record until the first
// heartbeat.
func (c *control) inheritTarget(m *fleet.Member) {
	if m.Service == c.self.Service {
		c.self.JoinedMS = m.JoinedMS
	}
	if c.self.State != fleet.TargetUnknown {
		c.inheritDepartureOfCurrent(m)
		return
	}
	c.self.Service, c.self.TargetID, c.self.TargetStartMS, c.self.Slots, c.self.State = m.Service, m.TargetID, m.TargetStartMS, m.Slots, m.State
	c.heartbeats.targetInherited(clock.Now())
	c.inheritDeparture()
	c.selfChanged()
	c.d.backend.setTarget(&c.self, c.heartbeats.leavingSince, c.targetMaxConns())
	c.d.backend.setColdLimit(c.coldLimit())
}

// selfChanged starts a new revision of the own record and distributes it.
func (c *control) selfChanged() {
	c.self.Revision++
	c.status.changedSeq = c.status.seq + 1
	c.registerAt = clock.Never
	c.viewStale = true
	c.agent.MembershipChanged(clock.Now())
	if c.directoryLoaded {
		c.d.members.request(c.self)
	}
	c.status.urgent = true
}

package sidecar

import (
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/ownertable"
	"github.com/parsleystack/parsleystack/platform"
)

const (
	// missedIntervals is the time without a heartbeat, in intervals, after which
	// the rows of a target are revoked. They move when its holds have run out.
	missedIntervals = 1.7
	// deferTime is how long the answer to a heartbeat waits for rows that are on
	// their way to the target. The target takes an answer within a second.
	deferTime = 650 * time.Millisecond
	// deferMargin is kept of the holds that the target has while it waits.
	deferMargin = 200 * time.Millisecond
	// refusedAfter is how long after its last heartbeat a target that refuses
	// connections counts as ended.
	refusedAfter = 100 * time.Millisecond
)

// beatState is what the daemon knows of its target's heartbeats.
type beatState struct {
	seq     uint64
	at      clock.Time // of the newest heartbeat, or when the target was inherited
	leaving clock.Time // when the target's leaving was acknowledged
	lapse   clock.Time // when the holds granted last end
	waiting *waitingBeat
}

// waitingBeat is a heartbeat whose answer waits for rows.
type waitingBeat struct {
	heartbeat *platform.Heartbeat
	received  clock.Time
	until     clock.Time
	reply     func(heartbeatAnswer)
}

func (b *beatState) inherited(now clock.Time) { b.at = now }

// heartbeatAnswer is what the target is answered.
type heartbeatAnswer struct {
	status int
	body   []byte
}

// takeHeartbeat answers a heartbeat of the target by reply, at once or when
// rows that are on their way to the target have come.
func (c *control) takeHeartbeat(hb *platform.Heartbeat, reply func(heartbeatAnswer)) {
	now := clock.Now()
	if answer, ok := c.refuseHeartbeat(hb); ok {
		reply(answer)
		return
	}
	c.endWait(now)
	c.noteTarget(hb, now)
	w := &waitingBeat{heartbeat: hb, received: now, until: min(now.Add(deferTime), c.beats.lapse.Add(-deferMargin)), reply: reply}
	if c.rowsComing() && now.Before(w.until) {
		c.beats.waiting = w
		return
	}
	reply(c.answerHeartbeat(hb, now, now))
}

// refuseHeartbeat answers heartbeats that change nothing.
func (c *control) refuseHeartbeat(hb *platform.Heartbeat) (heartbeatAnswer, bool) {
	if hb.Addr != c.d.settings().TargetAddr {
		logevent.Log(c.log, logevent.HeartbeatIgnored, zap.String("target", hb.Target.ID), zap.String("address", hb.Addr), zap.String("want", c.d.settings().TargetAddr))
		return heartbeatAnswer{status: 400}, true
	}
	if c.routes != nil {
		if _, ok := c.routes.Service(hb.Service); !ok {
			logevent.Log(c.log, logevent.HeartbeatIgnored, zap.String("target", hb.Target.ID), zap.String("service", string(hb.Service)))
			return heartbeatAnswer{status: 400}, true
		}
	}
	if !c.inOrder(hb) {
		logevent.Log(c.log, logevent.HeartbeatOutOfOrder, zap.String("target", hb.Target.ID), zap.Int64("born", hb.Target.Born), zap.Uint64("seq", hb.Seq))
		return heartbeatAnswer{status: 200, body: platform.AppendAcknowledgement(nil)}, true
	}
	return heartbeatAnswer{}, false
}

// rowsComing reports whether rows are on their way to the own target and none
// of its own is to be let go.
func (c *control) rowsComing() bool {
	return c.keyed() && c.self.State == fleet.TargetReady && c.agent.RowsComing(c.owner())
}

// endWait answers a waiting heartbeat.
func (c *control) endWait(now clock.Time) {
	if w := c.beats.waiting; w != nil {
		c.beats.waiting = nil
		w.reply(c.answerHeartbeat(w.heartbeat, w.received, now))
	}
}

// watchWait answers a waiting heartbeat when there is something to grant or to
// take, or when it has waited long enough.
func (c *control) watchWait(now clock.Time) {
	if w := c.beats.waiting; w != nil && (!now.Before(w.until) || !c.rowsComing()) {
		c.endWait(now)
	}
}

func (c *control) inOrder(hb *platform.Heartbeat) bool {
	current := c.target()
	if hb.Target.Born != current.Born {
		return hb.Target.Born > current.Born
	}
	return hb.Target.ID == current.ID && hb.Seq > c.beats.seq
}

func (c *control) target() ownertable.Target {
	return ownertable.Target{ID: c.self.TargetID, Born: c.self.TargetBorn}
}

// noteTarget takes what a heartbeat says of the target's state.
func (c *control) noteTarget(hb *platform.Heartbeat, now clock.Time) {
	state := fleet.TargetReady
	if hb.Draining {
		state = fleet.TargetLeaving
	}
	if hb.Target != c.target() {
		c.agent.TargetReplaced()
		c.beats.leaving = clock.Never
	} else if c.beats.leaving != clock.Never {
		state = fleet.TargetLeaving
	}
	if state == fleet.TargetLeaving && c.beats.leaving == clock.Never {
		c.beats.leaving = now
	}
	c.beats.seq, c.beats.at = hb.Seq, now
	m := c.self
	m.Service, m.TargetID, m.TargetBorn, m.Slots, m.State = string(hb.Service), hb.Target.ID, hb.Target.Born, hb.Slots, state
	if m != c.self {
		c.setTarget(m, "heartbeat")
	}
}

func (c *control) setTarget(m fleet.Member, cause string) {
	if m.Service != c.self.Service {
		c.changeService(&m)
	}
	c.self = m
	c.changeSelf()
	c.d.backend.setTarget(&c.self, c.beats.leaving)
	logevent.Log(c.log, logevent.TargetChanged, zap.String("cause", cause), zap.String("service", m.Service), zap.String("target", m.TargetID),
		zap.Int64("born", m.TargetBorn), zap.Stringer("state", m.State), zap.Int("slots", m.Slots))
}

// changeService makes this daemon a new member of another service.
func (c *control) changeService(m *fleet.Member) {
	m.JoinedMS = time.Now().UnixMilli()
	c.agent = ownertable.NewAgent(ident.Instance(m.Instance), c.d.started)
	if t := c.owners[ident.Service(m.Service)]; t != nil && c.read > 0 {
		c.agent.TableRead(t, uint64(c.read-1), clock.Now())
	}
}

// answerHeartbeat grants the rows of the newest table while the lease lasts.
// The target counts a hold from when it sent the heartbeat, so it may last until
// the end of the lease as seen from received.
func (c *control) answerHeartbeat(hb *platform.Heartbeat, received, now clock.Time) heartbeatAnswer {
	if !c.keyed() || c.agent.Table() == nil {
		return heartbeatAnswer{status: 200, body: platform.AppendAcknowledgement(nil)}
	}
	report := ownertable.Report{Seq: hb.Seq, Held: hb.Held, Released: hb.Released}
	a := c.agent.Heartbeat(c.owner(), &report, c.others(), c.d.settings().MaxHold, received, now)
	if len(a.Freed) > 0 {
		logevent.Log(c.log, logevent.ShardsReleased, zap.Int("rows", len(a.Freed)), zap.Uint64("seq", hb.Seq))
		c.plan(now)
	}
	if a.Hold == 0 {
		c.d.metrics.count(metricLapsed)
		logevent.Log(c.log, logevent.GrantsNotRenewed, zap.Duration("lease_left", c.agent.LeaseLeft(c.others(), now)), zap.Duration("since_store", now.Sub(c.agent.LastRead())))
		return heartbeatAnswer{status: 200, body: platform.AppendAcknowledgement(nil)}
	}
	c.beats.lapse = received.Add(a.Hold)
	c.d.backend.setHeld(a.Grants, c.beats.lapse)
	return heartbeatAnswer{status: 200, body: platform.AppendGrants(nil, a.Grants, a.Hold)}
}

// keyed reports whether the own target's service is divided by key.
func (c *control) keyed() bool {
	if c.routes == nil {
		return false
	}
	s, ok := c.routes.Service(ident.Service(c.self.Service))
	return ok && s.Keyed
}

func (c *control) owner() ownertable.Owner {
	return ownertable.Owner{Instance: ident.Instance(c.self.Instance), Target: c.target()}
}

// takeLeave notes that the target goes away. Older lives change nothing.
func (c *control) takeLeave(id string) heartbeatAnswer {
	if id != c.self.TargetID {
		return heartbeatAnswer{status: 200, body: platform.AppendAcknowledgement(nil)}
	}
	if c.beats.leaving == clock.Never {
		c.beats.leaving = clock.Now()
	}
	if c.self.State == fleet.TargetReady {
		m := c.self
		m.State = fleet.TargetLeaving
		c.setTarget(m, "departure")
	}
	return heartbeatAnswer{status: 200, body: platform.AppendAcknowledgement(nil)}
}

// targetRefused notes that nothing listens at the target's address. One that
// leaves may take no new connections and still work on its keys, so its rows
// wait until it lets go or its hold has run out.
func (c *control) targetRefused(id string) {
	now := clock.Now()
	if id != c.self.TargetID || c.self.State != fleet.TargetReady || now.Sub(c.beats.at) < refusedAfter {
		return
	}
	m := c.self
	m.State = fleet.TargetEnded
	c.setTarget(m, "connection refused")
}

// watchTarget notes a target whose heartbeats stay away.
func (c *control) watchTarget(now clock.Time) {
	if c.self.State != fleet.TargetReady || !c.keyed() {
		return
	}
	if now.Sub(c.beats.at) > time.Duration(missedIntervals*float64(c.d.settings().HeartbeatInterval)) {
		m := c.self
		m.State = fleet.TargetLeaving
		c.setTarget(m, "no heartbeat")
	}
}

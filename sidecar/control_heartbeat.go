package sidecar

import (
	"net/http"
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
	// missedIntervals is the time without a heartbeat, in heartbeat intervals,
	// after which the shards of a target are revoked. They move when its grants
	// have expired.
	missedIntervals = 1.7
	// maxDefer is how long the answer to a heartbeat is deferred while shards are
	// pending for the target. The target accepts an answer within a second.
	maxDefer = 650 * time.Millisecond
	// deferMargin is the time that the grants of the target still have left when a
	// deferred answer is sent.
	deferMargin = 200 * time.Millisecond
	// maxClockLead is how far in the future a target may state that it was started. Its clock
	// is that of the instance, which may be set while it runs.
	maxClockLead = time.Minute
	// refusedAfter is the least time since its last heartbeat after which a target
	// that refuses connections counts as unreachable.
	refusedAfter = 100 * time.Millisecond
)

// heartbeatState is the state of the heartbeat exchange with the target.
type heartbeatState struct {
	heard        bool              // a heartbeat was received
	seq          uint64            // of the newest one
	behind       heartbeatSeries   // since seq was received
	earlier      earlierTarget     // whose heartbeats go on since then
	ended        ownertable.Target // whose place a target with an earlier start has taken
	lastAt       clock.Time        // when the newest heartbeat was received or the target was inherited
	leavingSince clock.Time        // when the target announced its departure; Never if it is not leaving
	grantsExpire clock.Time        // when the newest grants end
	deferred     *deferredHeartbeat
	departure    departureState
}

// deferredHeartbeat is a heartbeat whose answer waits for pending shards.
type deferredHeartbeat struct {
	heartbeat *platform.Heartbeat
	received  clock.Time
	until     clock.Time
	reply     func(heartbeatResponse)
}

// targetInherited records that the target was read from an earlier process's record.
func (b *heartbeatState) targetInherited(now clock.Time) { b.lastAt = now }

// heartbeatResponse is the HTTP response to a heartbeat.
type heartbeatResponse struct {
	status int
	body   []byte
}

// handleHeartbeat answers a heartbeat of the target through reply, at once or, if
// shards are pending for the target, once they are assigned or after maxDefer.
func (c *control) handleHeartbeat(hb *platform.Heartbeat, reply func(heartbeatResponse)) {
	now := clock.Now()
	if answer, ok := c.rejectHeartbeat(hb); ok {
		reply(answer)
		return
	}
	c.answerDeferred(now)
	c.updateTarget(hb, now)
	if hb.Draining && !c.departureKept() {
		c.heartbeats.departure.heartbeat = &deferredHeartbeat{heartbeat: hb, received: now, reply: reply}
		return
	}
	w := &deferredHeartbeat{heartbeat: hb, received: now, until: min(now.Add(maxDefer), c.heartbeats.grantsExpire.Add(-deferMargin)), reply: reply}
	if c.shardsPending() && now.Before(w.until) {
		c.heartbeats.deferred = w
		return
	}
	reply(c.answerHeartbeat(hb, now, now))
}

// rejectHeartbeat returns the answer to a heartbeat that is invalid or outdated. It
// reports false if the heartbeat is valid and must be handled.
func (c *control) rejectHeartbeat(hb *platform.Heartbeat) (heartbeatResponse, bool) {
	if hb.Addr != c.d.settings().TargetAddr {
		logevent.Log(c.log, logevent.HeartbeatIgnored, zap.String("target", hb.Target.ID), zap.String("address", hb.Addr), zap.String("want", c.d.settings().TargetAddr))
		return heartbeatResponse{status: 400}, true
	}
	if start := time.UnixMilli(hb.Target.StartTime); time.Until(start) > maxClockLead { // it would hide the heartbeats of all later targets
		logevent.Log(c.log, logevent.HeartbeatIgnored, zap.String("target", hb.Target.ID), zap.Time("born", start))
		return heartbeatResponse{status: http.StatusBadRequest}, true
	}
	if !c.knowsService(hb.Service) {
		status := http.StatusBadRequest
		if c.newestConfig > c.configVersion() || c.configurationStale() {
			status = http.StatusServiceUnavailable // a newer configuration may have it
		}
		logevent.Log(c.log, logevent.HeartbeatIgnored, zap.String("target", hb.Target.ID), zap.String("service", string(hb.Service)), zap.Uint64("config", c.configVersion()), zap.Int("status", status))
		return heartbeatResponse{status: status}, true
	}
	if c.isKeyed(hb.Service) && !hb.ListsKeys {
		logevent.Log(c.log, logevent.HeartbeatIgnored, zap.String("target", hb.Target.ID), zap.String("missing", "lists of keys"))
		return heartbeatResponse{status: http.StatusBadRequest}, true
	}
	if !c.isNewer(hb) && !c.isTargetsSeries(hb) && !c.isStartedAgain(hb) {
		logevent.Log(c.log, logevent.HeartbeatOutOfOrder, zap.String("target", hb.Target.ID), zap.Int64("born", hb.Target.StartTime), zap.Uint64("seq", hb.Seq))
		if hb.Draining && hb.Target != c.target() { // nothing keeps its departure
			return heartbeatResponse{status: http.StatusServiceUnavailable}, true
		}
		return heartbeatResponse{status: 200, body: platform.AppendAcknowledgement(nil)}, true
	}
	if now := clock.Now(); !c.mayBecomeTarget(hb.Target, now) {
		logevent.Log(c.log, logevent.TargetNotReplaced, zap.String("target", hb.Target.ID), zap.Int64("born", hb.Target.StartTime), zap.String("current", c.self.TargetID),
			zap.Int64("current_born", c.self.TargetStartMS), zap.Duration("since_heartbeat", now.Sub(c.heartbeats.lastAt)), zap.Duration("holds_left", c.agent.HoldsExpire().Sub(now)))
		return heartbeatResponse{status: http.StatusServiceUnavailable}, true
	}
	return heartbeatResponse{}, false
}

// mayBecomeTarget reports whether a target may take the place of the current one, which the
// heartbeat of any program may claim: the current one sends no heartbeats any more and its
// grants have expired, or it is leaving. Two cases need no wait: without keys, requests for the
// current one also reach a later start under its ID, and a process that has just started knows
// owners in the table in force from an earlier process.
func (c *control) mayBecomeTarget(t ownertable.Target, now clock.Time) bool {
	if t == c.target() || c.self.TargetID == "" || c.self.State == fleet.TargetLeaving {
		return true
	}
	if !c.mayHoldKeys() && t.ID == c.self.TargetID && t.StartTime > c.self.TargetStartMS {
		return true
	}
	if !c.heartbeats.heard && c.agent.Owns(ownertable.Owner{Instance: ident.Instance(c.self.Instance), Target: t}) {
		return true
	}
	return c.isSilent(now) && (!c.mayHoldKeys() || !now.Before(c.agent.HoldsExpire()))
}

// mayHoldKeys reports whether the current target may hold keys: its service is divided by
// key, or there is no configuration yet that tells.
func (c *control) mayHoldKeys() bool { return c.routes == nil || c.keyed() }

// isSilent reports whether the target has sent no heartbeat for several intervals.
func (c *control) isSilent(now clock.Time) bool {
	return now.Sub(c.heartbeats.lastAt) > time.Duration(missedIntervals*float64(c.d.settings().HeartbeatInterval))
}

// knowsService reports whether a target may be of the service: the one in the settings,
// which a later version may add, or any of the configuration. Any is accepted before there
// is a configuration.
func (c *control) knowsService(name ident.Service) bool {
	if c.routes == nil || name == c.d.settings().Service {
		return true
	}
	_, ok := c.routes.Service(name)
	return ok
}

// shardsPending reports whether shards are pending for the target and it has none
// to release.
func (c *control) shardsPending() bool {
	return c.keyed() && c.self.State == fleet.TargetReady && c.agent.AssignmentPending(c.owner())
}

// answerDeferred answers the deferred heartbeat, if there is one.
func (c *control) answerDeferred(now clock.Time) {
	if w := c.heartbeats.deferred; w != nil {
		c.heartbeats.deferred = nil
		w.reply(c.answerHeartbeat(w.heartbeat, w.received, now))
	}
}

// checkDeferred answers the deferred heartbeat when there are shards to grant or to
// release, or when it was deferred for the longest time.
func (c *control) checkDeferred(now clock.Time) {
	if w := c.heartbeats.deferred; w != nil && (!now.Before(w.until) || !c.shardsPending()) {
		c.answerDeferred(now)
	}
}

func (c *control) isNewer(hb *platform.Heartbeat) bool {
	current := c.target()
	if hb.Target == c.heartbeats.ended {
		return false
	}
	if hb.Target.StartTime != current.StartTime {
		return hb.Target.StartTime > current.StartTime
	}
	return hb.Target.ID == current.ID && (hb.Seq > c.heartbeats.seq || !c.heartbeats.heard)
}

// isTargetsSeries reports whether a heartbeat that is numbered below the newest one belongs to
// a series of the target's own, so that the newest one does not.
func (c *control) isTargetsSeries(hb *platform.Heartbeat) bool {
	if hb.Target != c.target() || hb.Seq >= c.heartbeats.seq || !c.heartbeats.behind.add(hb.Seq, c.d.settings().HeartbeatInterval, clock.Now()) {
		return false
	}
	logevent.Log(c.log, logevent.HeartbeatsContinued, zap.String("target", hb.Target.ID), zap.Uint64("seq", hb.Seq), zap.Uint64("newest", c.heartbeats.seq))
	return true
}

// isStartedAgain reports whether a heartbeat is of a target that has taken the place of the
// current one although it states an earlier start, which a clock that was set back explains.
func (c *control) isStartedAgain(hb *platform.Heartbeat) bool {
	now := clock.Now()
	if hb.Target == c.target() || !c.heartbeats.earlier.add(hb.Target, hb.Seq, c.d.settings().HeartbeatInterval, now) || !c.isSilent(now) || !c.mayBecomeTarget(hb.Target, now) {
		return false
	}
	logevent.Log(c.log, logevent.TargetStartedAgain, zap.String("target", hb.Target.ID), zap.Int64("born", hb.Target.StartTime), zap.Int64("earlier_born", c.target().StartTime))
	c.heartbeats.ended = c.target()
	return true
}

func (c *control) target() ownertable.Target {
	return ownertable.Target{ID: c.self.TargetID, StartTime: c.self.TargetStartMS}
}

// updateTarget applies the target's state from a heartbeat.
func (c *control) updateTarget(hb *platform.Heartbeat, now clock.Time) {
	state := fleet.TargetReady
	if hb.Draining {
		state = fleet.TargetLeaving
	}
	if hb.Target != c.target() {
		c.agent.TargetReplaced()
		c.heartbeats.leavingSince = clock.Never
	} else if c.heartbeats.leavingSince != clock.Never {
		state = fleet.TargetLeaving
	}
	if c.heartbeats.departure.announced(hb.Target) {
		state = fleet.TargetLeaving
	}
	if state == fleet.TargetLeaving && c.heartbeats.leavingSince == clock.Never {
		c.heartbeats.leavingSince = now
	}
	c.heartbeats.heard, c.heartbeats.seq, c.heartbeats.lastAt = true, hb.Seq, now
	c.heartbeats.behind, c.heartbeats.earlier = heartbeatSeries{}, earlierTarget{}
	m := c.self
	m.Service, m.TargetID, m.TargetStartMS, m.Slots, m.State = string(hb.Service), hb.Target.ID, hb.Target.StartTime, hb.Slots, state
	if m != c.self {
		c.setTarget(m, "heartbeat")
	}
	c.d.backend.heartbeatReceived(hb, now)
}

func (c *control) setTarget(m fleet.Member, cause string) {
	serviceChanged := m.Service != c.self.Service
	departs := m.State == fleet.TargetLeaving && (c.self.State != fleet.TargetLeaving || m.TargetID != c.self.TargetID || m.TargetStartMS != c.self.TargetStartMS)
	c.self = m
	if serviceChanged {
		c.changeService()
	}
	c.selfChanged()
	if departs {
		c.heartbeats.departure.begin(c.self.Revision)
	}
	c.d.backend.setTarget(&c.self, c.heartbeats.leavingSince, c.targetMaxConns())
	c.d.backend.setColdLimit(c.coldLimit())
	logevent.Log(c.log, logevent.TargetChanged, zap.String("cause", cause), zap.String("service", m.Service), zap.String("target", m.TargetID),
		zap.Int64("born", m.TargetStartMS), zap.Stringer("state", m.State), zap.Int("slots", m.Slots))
}

// targetMaxConns returns the number of connections that a target of the own service accepts
// by the configuration, 0 if that is not known.
func (c *control) targetMaxConns() int {
	if c.routes == nil {
		return 0
	}
	s, _ := c.routes.Service(ident.Service(c.self.Service))
	return s.MaxConnections
}

// changeService makes this daemon a new member of the service that its record names
// since a moment ago. It may have been one before, and granted shards as late as now.
func (c *control) changeService() {
	c.self.JoinedMS = time.Now().UnixMilli()
	c.agent = ownertable.NewAgent(ident.Instance(c.self.Instance), clock.Now())
	c.enterAgentEra(c.era())
	if t := c.tables[ident.Service(c.self.Service)]; t != nil && c.applied.Position() > 0 {
		c.agent.TableRead(t, uint64(c.applied-1), clock.Now())
	}
	c.applyReports()
}

// answerHeartbeat grants the target's shards of the newest table while the lease
// lasts. The target counts the TTL of a grant from when it sent the heartbeat, so
// the TTL may reach to the end of the lease, counted from received. A heartbeat that waited
// for its answer while another target took the place of its own is granted nothing.
func (c *control) answerHeartbeat(hb *platform.Heartbeat, received, now clock.Time) heartbeatResponse {
	if hb.Target != c.target() || !c.keyed() || c.agent.Table() == nil && !c.agent.Recovering() {
		return heartbeatResponse{status: 200, body: platform.AppendAcknowledgement(nil)}
	}
	report := ownertable.Report{Seq: hb.Seq, Held: hb.Held, Released: hb.Released}
	a := c.agent.Heartbeat(c.owner(), &report, c.otherMembers(), c.d.settings().MaxGrantTTL, received, now)
	if len(a.Released) > 0 {
		logevent.Log(c.log, logevent.ShardsReleased, zap.Int("rows", len(a.Released)), zap.Uint64("seq", hb.Seq))
		c.plan(now)
	}
	if a.TTL == 0 {
		c.d.metrics.count(metricNoGrants)
		logevent.Log(c.log, logevent.GrantsNotRenewed, zap.Duration("lease_left", c.agent.LeaseLeft(c.otherMembers(), now)), zap.Duration("since_store", now.Sub(c.agent.LastRead())))
		return heartbeatResponse{status: 200, body: platform.AppendAcknowledgement(nil)}
	}
	c.heartbeats.grantsExpire = received.Add(a.TTL)
	c.d.backend.setGrant(a.Grants, c.heartbeats.grantsExpire)
	return heartbeatResponse{status: 200, body: platform.AppendGrants(nil, a.Grants, a.TTL)}
}

// keyed reports whether the service of the local target is divided by key.
func (c *control) keyed() bool { return c.isKeyed(ident.Service(c.self.Service)) }

// isKeyed reports whether a service is divided by key, as far as that is known.
func (c *control) isKeyed(name ident.Service) bool {
	if c.routes == nil {
		return false
	}
	s, ok := c.routes.Service(name)
	return ok && s.Keyed
}

func (c *control) owner() ownertable.Owner {
	return ownertable.Owner{Instance: ident.Instance(c.self.Instance), Target: c.target()}
}

// targetStatesLeaving handles the departure that the target has stated in a response, since
// a time. Its heartbeats may not say so yet, or never.
func (c *control) targetStatesLeaving(t ownertable.Target, since clock.Time) {
	if t != c.target() || c.heartbeats.leavingSince != clock.Never && !since.Before(c.heartbeats.leavingSince) {
		return
	}
	c.heartbeats.leavingSince = since
	m := c.self
	m.State = fleet.TargetLeaving
	c.setTarget(m, "response")
}

// targetRefused handles a refused connection to the target while no other one is open. It
// then gets no requests until its next heartbeat. Its shards stay with it: a target that is
// busy or leaving may refuse connections while it works on its keys.
func (c *control) targetRefused(id string) {
	now := clock.Now()
	if id != c.self.TargetID || c.self.State != fleet.TargetReady || now.Sub(c.heartbeats.lastAt) < refusedAfter {
		return
	}
	m := c.self
	m.State = fleet.TargetUnreachable
	c.setTarget(m, "connection refused")
}

// checkTargetHeartbeats marks a target without recent heartbeats as silent: one that may hold
// keys, and one that only the record of an earlier process names.
func (c *control) checkTargetHeartbeats(now clock.Time) {
	if !c.self.State.Serving() || !c.keyed() && c.heartbeats.heard {
		return
	}
	if c.isSilent(now) {
		m := c.self
		m.State = fleet.TargetSilent
		c.setTarget(m, "no heartbeat")
	}
}

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
	// maxAnnounced bounds departureState.announcedAt. A target has few incarnations while
	// its daemon does not know it.
	maxAnnounced = 16
	// minKeepers is the number of other daemons that keep a departure in place of the
	// store; all of them in a smaller fleet.
	minKeepers = 2
	// departurePushAfter is how long the store may take before the departure is sent to
	// other daemons, and departurePushInterval the time until it is sent again.
	departurePushAfter    = 100 * time.Millisecond
	departurePushInterval = 300 * time.Millisecond
)

// departureState is what a daemon keeps of the departure of its target. A departure is
// acknowledged only once the store or other daemons keep it, since the acknowledgement binds
// later processes of the daemon, too, and the target does not repeat what was acknowledged.
type departureState struct {
	revision  uint64 // of the first own record that states it; 0 if this process need not store it
	stored    uint64 // newest revision of the own record that the store has
	read      uint64 // newest revision of the own record that was read from the store
	since     clock.Time
	pushed    clock.Time // when it was last sent to other daemons; Never if it was not
	keepers   map[ident.Instance]bool
	needed    int // number of keepers that make up for the store; 0 before it was pushed
	heartbeat *deferredHeartbeat
	notices   []func(heartbeatResponse) // answers to departure notices
	// announcedAt is when targets that this process did not know announced their departure,
	// in Unix milliseconds, by ID.
	announcedAt map[string]int64
}

// begin starts the departure of a target, which the revision of the own record states first.
func (s *departureState) begin(revision uint64) {
	s.revision, s.since, s.pushed, s.keepers, s.needed = revision, clock.Now(), clock.Never, make(map[ident.Instance]bool), 0
}

// announced reports whether a target announced its departure to this process before it was
// known. A target that started later under the same ID did not.
func (s *departureState) announced(t ownertable.Target) bool {
	at, ok := s.announcedAt[t.ID]
	return ok && t.StartTime <= at
}

// departureKept reports whether the departure of the target outlives this process: the store
// has it, or enough other daemons.
func (c *control) departureKept() bool {
	s := &c.heartbeats.departure
	return c.directoryLoaded && (s.stored >= s.revision || s.needed > 0 && len(s.keepers) >= s.needed)
}

// handleDeparture handles a departure notice of a target. It is answered through reply once
// the departure is kept. One of an earlier incarnation changes nothing.
func (c *control) handleDeparture(id string, reply func(heartbeatResponse)) {
	s := &c.heartbeats.departure
	s.notices = append(s.notices, reply)
	if id != c.self.TargetID {
		c.rememberDeparture(id)
		c.acknowledgeDeparture()
		return
	}
	if c.heartbeats.leavingSince == clock.Never {
		c.heartbeats.leavingSince = clock.Now()
	}
	if c.self.State != fleet.TargetLeaving {
		m := c.self
		m.State = fleet.TargetLeaving
		c.setTarget(m, "departure")
	}
	c.acknowledgeDeparture()
}

// rememberDeparture keeps the departure of a target that this process does not know: the
// record of an earlier process, or a late heartbeat, may name it.
func (c *control) rememberDeparture(id string) {
	s := &c.heartbeats.departure
	if s.announcedAt == nil || len(s.announcedAt) >= maxAnnounced {
		s.announcedAt = make(map[string]int64)
	}
	s.announcedAt[id] = time.Now().UnixMilli()
}

// inheritDeparture makes a target from an earlier process's record leave if its departure
// was announced, to that process or to this one.
func (c *control) inheritDeparture() {
	if c.heartbeats.departure.announced(c.target()) {
		c.self.State = fleet.TargetLeaving
		c.heartbeats.departure.begin(c.self.Revision + 1)
	}
	if c.self.State == fleet.TargetLeaving {
		c.heartbeats.leavingSince = c.drainedAtStart()
	}
}

// drainedAtStart returns a time at which a target left whose drain time had passed when this
// process started: when an earlier process acknowledged the departure is not known.
func (c *control) drainedAtStart() clock.Time {
	return max(c.d.started.Add(-c.d.settings().DrainTime), 1)
}

// inheritDepartureOfCurrent makes the target leave if an earlier process's record states its
// departure and a heartbeat arrived before the record was read.
func (c *control) inheritDepartureOfCurrent(m *fleet.Member) {
	if m.State != fleet.TargetLeaving || c.self.State == fleet.TargetLeaving || m.TargetID != c.self.TargetID || m.TargetStartMS != c.self.TargetStartMS {
		return
	}
	c.heartbeats.leavingSince = c.drainedAtStart()
	next := c.self
	next.State = fleet.TargetLeaving
	c.setTarget(next, "earlier record")
}

// recordStored records that the store has a revision of the own record.
func (c *control) recordStored(incarnation, revision uint64) {
	if incarnation != c.self.Incarnation {
		return
	}
	c.heartbeats.departure.stored = max(c.heartbeats.departure.stored, revision)
	c.acknowledgeDeparture()
}

// recordRead handles an own record in the store, in the order of the log. If it is older than
// one before it, an append whose answer was lost was made late. A later process would go by
// it, so the newest record is written again.
func (c *control) recordRead(m *fleet.Member) {
	s := &c.heartbeats.departure
	if m.Incarnation == c.self.Incarnation && m.Revision >= s.read {
		s.read = m.Revision
		c.recordStored(m.Incarnation, m.Revision)
		return
	}
	if s.read > 0 {
		s.stored = 0
		c.d.members.request(c.self)
	}
}

// forgetRecord is called when the store may have lost the own record, or when the record is
// to be written under a later incarnation.
func (c *control) forgetRecord() { c.heartbeats.departure.stored, c.heartbeats.departure.read = 0, 0 }

// acknowledgeDeparture answers what waits for the departure to be kept.
func (c *control) acknowledgeDeparture() {
	if !c.departureKept() {
		return
	}
	s := &c.heartbeats.departure
	for _, reply := range s.notices {
		reply(heartbeatResponse{status: 200, body: platform.AppendAcknowledgement(nil)})
	}
	s.notices = nil
	if w := s.heartbeat; w != nil {
		s.heartbeat = nil
		logevent.Log(c.log, logevent.DepartureAcknowledged, zap.String("target", w.heartbeat.Target.ID), zap.Duration("after", clock.Now().Sub(w.received)))
		w.reply(c.answerHeartbeat(w.heartbeat, w.received, clock.Now()))
	}
}

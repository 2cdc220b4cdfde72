package sidecar

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/metastore"
	"github.com/parsleystack/parsleystack/ownertable"
)

const (
	// appendTimeout bounds the append of one proposed table.
	appendTimeout = 2 * time.Second
	// resumePeriod is the time after its start in which a daemon relies on the
	// grants of an earlier process: a restart takes about a second, the next
	// heartbeat arrives after one more, and a grant lasts for three.
	resumePeriod = 1500 * time.Millisecond
	// establishedSlack covers differences between the wall clocks of instances.
	establishedSlack = 10 * time.Second
)

// updateOwnTable applies a new assignment table of the own service.
func (c *control) updateOwnTable(t *ownertable.Table, offset metastore.Offset) {
	now := clock.Now()
	c.agent.TableRead(t, uint64(offset), now)
	c.status.urgent = true
	c.resumeGrant(now)
	c.checkDeferred(now)
}

// resumeGrant makes a restarted daemon serve, before the target's first heartbeat,
// the shards that the earlier process granted to its target. If a grant has expired
// meanwhile, the target refuses the request.
func (c *control) resumeGrant(now clock.Time) {
	until := c.d.started.Add(resumePeriod)
	if !c.heartbeats.heard && now.Before(until) && c.self.State == fleet.TargetReady {
		c.d.backend.setGrant(c.agent.InheritedGrants(c.owner()), until)
	}
}

// candidates returns all targets of the own service, the local one first.
func (c *control) candidates() []ownertable.Candidate {
	load := c.d.backend.load()
	list := []ownertable.Candidate{c.candidate(&c.self, &load, false, true)}
	for _, p := range c.dir.Peers() {
		if c.sameService(p) {
			list = append(list, c.candidate(&p.Member, &p.Load, c.suspected[ident.Instance(p.Member.Instance)], p.Responded))
		}
	}
	return list
}

// candidate returns a target as the planner sees it. One in an evacuated zone counts as leaving.
func (c *control) candidate(m *fleet.Member, load *fleet.Load, suspected, responded bool) ownertable.Candidate {
	slots := m.Slots
	if load.RateLimited {
		slots = min(slots, load.Limit) // it runs no more at a time, so more keys would not be served
	}
	return ownertable.Candidate{
		Owner: ownertable.Owner{Instance: ident.Instance(m.Instance), Target: ownertable.Target{ID: m.TargetID, StartTime: m.TargetStartMS}},
		Slots: slots, Load: load.OfferedRatio, LatencyRatio: load.LatencyRatio, Ready: m.State.Serving() && !c.zones.Contains(ident.Zone(m.Zone)), Unreachable: m.State == fleet.TargetUnreachable, Suspected: suspected, Responded: responded,
	}
}

// plan proposes the next assignment table if one is needed and it is this daemon's
// turn to propose.
func (c *control) plan(now clock.Time) {
	if !c.keyed() || c.stopping {
		return
	}
	list := c.candidates()
	p := c.agent.Plan(&ownertable.PlanRequest{Now: now, Self: list[0], Candidates: list, Rank: c.rank(), KeyLoad: c.d.backend.keyLoads.load})
	if p == nil {
		return
	}
	reasons := make(map[ownertable.Reason]int)
	for i := range p.Changes {
		reasons[p.Changes[i].Reason]++
	}
	logevent.Log(c.log, logevent.TableProposed, zap.String("service", c.self.Service), zap.Uint64("at", p.At), zap.Any("changes", reasons))
	go c.d.propose(metastore.Offset(p.At), metastore.Record{Key: tableKey(ident.Service(c.self.Service), metastore.Offset(p.At).Era()), Value: p.Table.Encode()})
}

// recordAge returns how long the store has certainly contained the own record. In a
// store that has gone back, an append of the record may have been made late.
func (c *control) recordAge() time.Duration {
	age := time.Since(time.UnixMilli(c.self.JoinedMS)) - establishedSlack
	if c.agent.Era() > 0 {
		age -= ownertable.MaxCopyAge
	}
	return max(age, 0)
}

// rank returns the position of this daemon, by instance name, among the daemons of
// its service that are not suspected.
func (c *control) rank() int {
	rank := 0
	for _, p := range c.dir.Peers() {
		if c.sameService(p) && !c.suspected[ident.Instance(p.Member.Instance)] && p.Member.Instance < c.self.Instance {
			rank++
		}
	}
	return rank
}

// propose appends a proposed table at the offset at and passes the result to the
// control goroutine.
func (d *Daemon) propose(at metastore.Offset, record metastore.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	_, err := d.store.AppendAt(ctx, d.directory, at, []metastore.Record{record})
	d.control.do(func() { d.control.handleProposalResult(at, record, err) })
}

// handleProposalResult handles the result of a proposal's append.
func (c *control) handleProposalResult(at metastore.Offset, record metastore.Record, err error) {
	now := clock.Now()
	if err == nil {
		record.Offset = at
		c.agent.Proposed(uint64(at), ownertable.Accepted, now)
		c.applyRecord(&record)
		c.history.add(at, []metastore.Record{record})
		c.advance(at + 1)
		return
	}
	logevent.Log(c.log, logevent.TableProposalFailed, zap.Int64("at", int64(at)), zap.Error(err))
	c.agent.Proposed(uint64(at), failedAppendOutcome(err), now)
}

// failedAppendOutcome returns the outcome of a proposal's append that failed with err.
func failedAppendOutcome(err error) ownertable.AppendOutcome {
	var condition *metastore.ConditionError
	var era *metastore.EraError
	inLaterEra := errors.As(err, &era) && era.Store > era.Expected // wherever the record stands, it is not in force
	if errors.As(err, &condition) || inLaterEra || errors.Is(err, metastore.ErrNotApplied) {
		return ownertable.Rejected
	}
	return ownertable.Indeterminate
}

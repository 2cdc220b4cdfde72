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
	// appendTimeout bounds one proposal.
	appendTimeout = 2 * time.Second
	// resumeTime is how long after its start a daemon relies on what an earlier
	// process granted: a restart takes about a second, a heartbeat comes after
	// one more, and a hold lasts for three.
	resumeTime = 1500 * time.Millisecond
	// establishedSlack covers differences between the wall clocks of instances.
	establishedSlack = 10 * time.Second
)

// ownTableChanged takes a new table of the own service.
func (c *control) ownTableChanged(t *ownertable.Table, offset metastore.Offset) {
	now := clock.Now()
	c.agent.TableRead(t, uint64(offset), now)
	c.status.soon = true
	c.resumeHeld(now)
	c.watchWait(now)
}

// resumeHeld lets a restarted daemon serve the rows that its target got from
// the earlier process, before the target's first heartbeat. Where a hold has
// lapsed meanwhile, the target refuses.
func (c *control) resumeHeld(now clock.Time) {
	until := c.d.started.Add(resumeTime)
	if c.beats.seq == 0 && now.Before(until) && c.self.State == fleet.TargetReady {
		c.d.backend.setHeld(c.agent.Inherited(c.owner()), until)
	}
}

// candidates returns all targets of the own service.
func (c *control) candidates() []ownertable.Candidate {
	load := c.d.backend.load()
	list := []ownertable.Candidate{candidate(&c.self, &load, false, true)}
	for _, p := range c.dir.Peers() {
		if c.sameService(p) {
			list = append(list, candidate(&p.Member, &p.Load, c.silent[ident.Instance(p.Member.Instance)], p.Answered))
		}
	}
	return list
}

func candidate(m *fleet.Member, load *fleet.Load, silent, heard bool) ownertable.Candidate {
	return ownertable.Candidate{
		Owner: ownertable.Owner{Instance: ident.Instance(m.Instance), Target: ownertable.Target{ID: m.TargetID, Born: m.TargetBorn}},
		Slots: m.Slots, Load: load.Offered, Pace: load.Pace, Ready: m.State == fleet.TargetReady, Ended: m.State == fleet.TargetEnded, Silent: silent, Heard: heard,
	}
}

// plan proposes the next table if one is needed and it is this daemon's turn.
func (c *control) plan(now clock.Time) {
	if !c.keyed() || c.stopping {
		return
	}
	list := c.candidates()
	p := c.agent.Plan(&ownertable.Situation{Now: now, Self: list[0], Candidates: list, Rank: c.rank(), Established: c.established(now), KeyLoad: c.d.backend.keys.load})
	if p == nil {
		return
	}
	reasons := make(map[ownertable.Reason]int)
	for i := range p.Changes {
		reasons[p.Changes[i].Reason]++
	}
	logevent.Log(c.log, logevent.TableProposed, zap.String("service", c.self.Service), zap.Uint64("at", p.At), zap.Any("changes", reasons))
	go c.d.append(metastore.Offset(p.At), metastore.Record{Key: ownersPrefix + c.self.Service, Value: p.Table.Encode()})
}

// established reports whether all others have surely known this member for
// ownertable.MaxUnconfirmed.
func (c *control) established(now clock.Time) bool {
	if c.agent.MemberFor(now) > ownertable.MaxUnconfirmed {
		return true
	}
	return time.Since(time.UnixMilli(c.self.JoinedMS)) > ownertable.MaxUnconfirmed+establishedSlack
}

// rank is the position of this daemon among those of its service that answer.
func (c *control) rank() int {
	rank := 0
	for _, p := range c.dir.Peers() {
		if c.sameService(p) && !c.silent[ident.Instance(p.Member.Instance)] && p.Member.Instance < c.self.Instance {
			rank++
		}
	}
	return rank
}

// append appends a proposal and tells the control goroutine how it went.
func (d *Daemon) append(at metastore.Offset, record metastore.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	_, err := d.store.AppendAt(ctx, d.directory, at, []metastore.Record{record})
	d.control.do(func() { d.control.proposed(at, record, err) })
}

// proposed takes the store's answer to a proposal.
func (c *control) proposed(at metastore.Offset, record metastore.Record, err error) {
	now := clock.Now()
	if err == nil {
		record.Offset = at
		c.agent.Proposed(uint64(at), ownertable.Stands, now)
		c.takeRecord(&record)
		c.advance(at + 1)
		return
	}
	logevent.Log(c.log, logevent.TableProposalFailed, zap.Int64("at", int64(at)), zap.Error(err))
	verdict := ownertable.Unsettled
	var condition *metastore.ConditionError
	if errors.As(err, &condition) || errors.Is(err, metastore.ErrNotDone) {
		verdict = ownertable.Void
	}
	c.agent.Proposed(uint64(at), verdict, now)
}

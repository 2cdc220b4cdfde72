package sidecar

import (
	"context"
	"errors"
	"slices"
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
	// settleTime is how long no daemon or target may have joined before the
	// first table is made, so that it has all of them.
	settleTime = 800 * time.Millisecond
	// proposeStep is how much longer each daemon in the order of names waits
	// before it proposes, so that usually one of them does.
	proposeStep = 250 * time.Millisecond
	// appendTimeout bounds one proposal.
	appendTimeout = 2 * time.Second
	// proposePause is the pause after a proposal that failed.
	proposePause = 100 * time.Millisecond
	// resumeTime is how long after its start a daemon relies on what an earlier
	// process granted: a restart takes about a second, a heartbeat comes after
	// one more, and a hold lasts for four.
	resumeTime = 1500 * time.Millisecond
	// establishedSlack covers differences between the wall clocks of instances.
	establishedSlack = 10 * time.Second
)

// plannerState is what the making of new tables needs.
type plannerState struct {
	lastNews  clock.Time // when a daemon or a target last changed
	wanted    clock.Time // since when a change is wanted
	notBefore clock.Time
	proposal  proposal
	freed     map[ownertable.RowID]string
	revoked   map[ownertable.RowID]clock.Time // when revocations were read
	// revokedAt is the end of the directory after the newest table that revoked
	// rows of an instance.
	revokedAt map[ident.Instance]int64
}

// proposal is a table that was appended and may or may not stand in the store.
type proposal struct {
	inFlight bool // the store has not answered yet
	open     bool // it may stand, or still come to stand, at the offset at
	at       metastore.Offset
	takes    []ident.Instance // owners that lose rows by it
}

func (p *proposal) takesFrom(name ident.Instance) bool {
	return p.open && slices.Contains(p.takes, name)
}

func newPlannerState() plannerState {
	return plannerState{
		freed: make(map[ownertable.RowID]string), revoked: make(map[ownertable.RowID]clock.Time),
		revokedAt: make(map[ident.Instance]int64),
	}
}

func (p *plannerState) free(rows map[ownertable.RowID]string) {
	for id, handover := range rows {
		p.freed[id] = handover
	}
}

// ownTableChanged takes a new table of the own service.
func (c *control) ownTableChanged(t *ownertable.Table, offset metastore.Offset) {
	now := clock.Now()
	p := &c.planner
	revoked := make(map[ownertable.RowID]clock.Time)
	freed := make(map[ownertable.RowID]string)
	for i := range t.Rows {
		r := &t.Rows[i]
		if handover, ok := p.freed[r.ID()]; ok {
			freed[r.ID()] = handover
		}
		if r.Revoked == ownertable.NotRevoked {
			continue
		}
		since, ok := p.revoked[r.ID()]
		if !ok {
			since = now
			p.revokedAt[r.Owner.Instance] = int64(offset) + 1
		}
		revoked[r.ID()] = since
	}
	p.revoked, p.freed = revoked, freed
	c.resumeHeld(now)
	p.wanted = clock.Never
	c.status.soon = true
}

// resumeHeld lets a restarted daemon serve the rows that its target got from
// the earlier process, before the target's first heartbeat. Where a hold has
// lapsed meanwhile, the target refuses.
func (c *control) resumeHeld(now clock.Time) {
	until := c.d.started.Add(resumeTime)
	if c.beats.seq != 0 || !now.Before(until) || c.self.State != fleet.TargetReady {
		return
	}
	var rows []ownertable.Grant
	for _, r := range c.owners[ident.Service(c.self.Service)].Owned(c.owner()) {
		if r.Revoked == ownertable.NotRevoked {
			rows = append(rows, ownertable.Grant{Range: r.Range, Token: r.Token})
		}
	}
	c.d.backend.setHeld(rows, until)
}

// candidates returns all targets of the own service.
func (c *control) candidates() []ownertable.Candidate {
	list := []ownertable.Candidate{candidate(&c.self, false, true)}
	for _, p := range c.dir.Peers() {
		if c.sameService(p) {
			list = append(list, candidate(&p.Member, c.silent[ident.Instance(p.Member.Instance)], p.Answered))
		}
	}
	return list
}

func candidate(m *fleet.Member, silent, heard bool) ownertable.Candidate {
	return ownertable.Candidate{
		Owner: ownertable.Owner{Instance: ident.Instance(m.Instance), Target: ownertable.Target{ID: m.TargetID, Born: m.TargetBorn}},
		Slots: m.Slots, Ready: m.State == fleet.TargetReady, Ended: m.State == fleet.TargetEnded, Silent: silent, Heard: heard,
	}
}

// plan proposes the next table if one is needed and it is this daemon's turn.
func (c *control) plan(now clock.Time) {
	p := &c.planner
	if !p.proposal.inFlight && c.read > p.proposal.at {
		p.proposal = proposal{}
	}
	if c.joinedAt == clock.Never || !c.keyed() || p.proposal.inFlight || now.Before(p.notBefore) || c.stopping {
		return
	}
	service := ident.Service(c.self.Service)
	t := c.owners[service]
	if t == nil {
		t = ownertable.NewTable()
	}
	if c.self.State == fleet.TargetLeaving || c.self.State == fleet.TargetEnded {
		p.free(c.lapsed(t, now))
	}
	w := &ownertable.World{
		Now: now, Candidates: c.candidates(), Freed: p.freed, RevokedAt: p.revoked,
		Wait: ownertable.TakeoverWait(c.established(now)), Settled: now.Sub(p.lastNews) > settleTime,
	}
	next, changes := ownertable.Plan(t, uint64(c.read), w)
	if next == nil {
		p.wanted = clock.Never
		return
	}
	if p.wanted == clock.Never {
		p.wanted = now
	}
	if len(p.freed) == 0 && now.Sub(p.wanted) < time.Duration(c.rank())*proposeStep {
		return
	}
	c.propose(service, next, changes)
}

// lapsed returns own rows whose holds have run out at a target that is gone.
func (c *control) lapsed(t *ownertable.Table, now clock.Time) map[ownertable.RowID]string {
	var rows []ownertable.Row
	for _, r := range t.Owned(c.owner()) {
		if r.Revoked != ownertable.NotRevoked {
			rows = append(rows, r)
		}
	}
	return c.keeper.Lapsed(rows, now)
}

// established reports whether all others have surely known this member for
// MaxUnconfirmed.
func (c *control) established(now clock.Time) bool {
	if now.Sub(c.joinedAt) > ownertable.MaxUnconfirmed {
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

func (c *control) propose(service ident.Service, t *ownertable.Table, changes []ownertable.Change) {
	at := c.read
	p := &c.planner.proposal
	p.inFlight, p.open, p.at = true, true, at // owners named by an earlier proposal stay: it may stand instead
	for i := range changes {
		if from := changes[i].From.Instance; from != "" && !slices.Contains(p.takes, from) {
			p.takes = append(p.takes, from)
		}
	}
	reasons := make(map[ownertable.Reason]int)
	for i := range changes {
		reasons[changes[i].Reason]++
	}
	logevent.Log(c.log, logevent.TableProposed, zap.String("service", string(service)), zap.Int64("at", int64(at)), zap.Any("changes", reasons))
	record := metastore.Record{Key: ownersPrefix + string(service), Value: t.Encode()}
	go c.d.append(at, record)
}

// append appends a proposal and tells the control goroutine how it went.
func (d *Daemon) append(at metastore.Offset, record metastore.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	_, err := d.store.AppendAt(ctx, d.directory, at, []metastore.Record{record})
	d.control.do(func() { d.control.proposed(at, record, err) })
}

// proposed takes the store's answer to a proposal. Without an answer the
// proposal stays open until the directory has grown, since it may land late; a
// new one at the same offset is made meanwhile, and the store takes one of them.
func (c *control) proposed(at metastore.Offset, record metastore.Record, err error) {
	p := &c.planner
	p.proposal.inFlight = false
	if err == nil {
		record.Offset = at
		c.takeRecord(&record)
		c.read = max(c.read, at+1)
		p.proposal = proposal{}
		return
	}
	p.notBefore = clock.Now().Add(jittered(2 * proposePause))
	logevent.Log(c.log, logevent.TableVoid, zap.Int64("at", int64(at)), zap.Error(err))
	var condition *metastore.ConditionError
	if errors.As(err, &condition) || errors.Is(err, metastore.ErrNotDone) && len(p.proposal.takes) == 0 {
		p.proposal = proposal{}
	}
}

package sidecar

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/metastore"
	"github.com/parsleystack/parsleystack/ownertable"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/routetable"
)

const (
	directoryTopic = "parsley"
	memberPrefix   = "member/" // of the key of a daemon's record
	ownersPrefix   = "owners/" // of the key of a service's table of owners

	// tickInterval is the time between looks at silence, leases and plans.
	tickInterval = 50 * time.Millisecond
	// targetWait is how long a new daemon waits for its target's first heartbeat
	// before it records itself; targets start within some seconds.
	targetWait = 2500 * time.Millisecond
	// eventBuffer holds what comes while the control goroutine is busy.
	eventBuffer = 256
)

// control is the state that one goroutine owns.
type control struct {
	d      *Daemon
	log    *zap.Logger
	events chan func()
	view   atomic.Pointer[view]
	stale  bool // the view is to be built anew

	self     fleet.Member
	stored   uint64 // revision of the newest own record read from the store
	joinedAt clock.Time
	// registerAt is when the own record is written although there is no target.
	registerAt clock.Time
	dir        *fleet.Directory
	silent     map[ident.Instance]bool
	loads      map[ident.Instance]*targetLoad

	loaded  bool             // the directory was read once
	read    metastore.Offset // end of what was applied
	keyRead map[string]metastore.Offset

	routes *routetable.Table
	rawCfg []byte // the configuration as the operator wrote it
	newest uint64 // newest version that any daemon is known to have

	owners map[ident.Service]*ownertable.Table
	agent  *ownertable.Agent
	beats  beatState
	status statusState

	stopping bool
}

func newControl(d *Daemon) *control {
	s := d.settings()
	c := &control{
		d: d, log: d.log, events: make(chan func(), eventBuffer),
		dir: fleet.NewDirectory(), silent: make(map[ident.Instance]bool), loads: make(map[ident.Instance]*targetLoad),
		keyRead: make(map[string]metastore.Offset), owners: make(map[ident.Service]*ownertable.Table),
		agent: ownertable.NewAgent(s.Instance, d.started),
		self: fleet.Member{
			Instance: string(s.Instance), Incarnation: uint64(time.Now().UnixNano()), Revision: 1,
			Addr: s.LinkAddr, Zone: string(s.Zone), JoinedMS: time.Now().UnixMilli(), Service: string(s.Service),
		},
	}
	c.view.Store(&view{services: make(map[ident.Service]*serviceView)})
	return c
}

// run carries out events until ctx ends.
func (c *control) run(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-c.events:
			f()
		case <-tick.C:
			c.tick()
		}
		c.drainEvents()
		if c.stale {
			c.publish()
		}
	}
}

// drainEvents carries out what has piled up, so that one view serves it all.
func (c *control) drainEvents() {
	for range eventBuffer {
		select {
		case f := <-c.events:
			f()
		default:
			return
		}
	}
}

// do runs f on the control goroutine.
func (c *control) do(f func()) { c.events <- f }

// ask runs f on the control goroutine and waits for it. It reports false if ctx
// ends before.
func (c *control) ask(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	select {
	case c.events <- func() { f(); close(done) }:
	case <-ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

func (c *control) tick() {
	now := clock.Now()
	c.watchSilence(now)
	c.watchTarget(now)
	c.watchWait(now)
	c.sendStatuses(now)
	c.catchUp(now)
	c.confirmLease(now)
	c.forgetGone(now)
	c.registerLate(now)
	c.plan(now)
}

// takeDirectory applies records of the directory.
func (c *control) takeDirectory(b metastore.Batch, sent clock.Time, whole bool) {
	next := b.End
	if !whole && len(b.Records) > 0 {
		next = b.Records[len(b.Records)-1].Offset + 1
	}
	for i := range b.Records {
		c.takeRecord(&b.Records[i])
	}
	c.read = max(c.read, next)
	if whole && !c.loaded {
		c.loaded = true
		c.resumeSelf()
	}
	c.agent.Applied(uint64(c.read), sent, next >= b.End)
	c.plan(clock.Now())
}

func (c *control) takeRecord(r *metastore.Record) {
	if at, seen := c.keyRead[r.Key]; seen && r.Offset <= at {
		return
	}
	c.keyRead[r.Key] = r.Offset
	var err error
	switch {
	case strings.HasPrefix(r.Key, memberPrefix):
		err = c.takeMember(r)
	case strings.HasPrefix(r.Key, ownersPrefix):
		err = c.takeOwners(r)
	}
	if err != nil {
		logevent.Log(c.log, logevent.RecordIgnored, zap.String("key", r.Key), zap.Int64("offset", int64(r.Offset)), zap.Error(err))
	}
}

func (c *control) takeMember(r *metastore.Record) error {
	m, err := fleet.DecodeMember(r.Value)
	if err != nil {
		return err
	}
	if m.Instance == c.self.Instance {
		c.takeOwnMember(m)
		return nil
	}
	c.learn(m, true)
	return nil
}

// learn takes another daemon's record.
func (c *control) learn(m *fleet.Member, stored bool) {
	now := clock.Now()
	if m.Gone {
		if p := c.dir.Peer(ident.Instance(m.Instance)); p != nil && !p.Member.Newer(m) {
			c.dir.Remove(ident.Instance(m.Instance))
			delete(c.silent, ident.Instance(m.Instance))
			c.stale = true
		}
		return
	}
	if !c.dir.Learn(m, stored, now) {
		return
	}
	c.agent.Changed(now)
	c.stale = true
	logevent.Log(c.log, logevent.PeerJoined, zap.String("daemon", m.Instance), zap.Uint64("incarnation", m.Incarnation),
		zap.Uint64("revision", m.Revision), zap.String("service", m.Service), zap.String("target", m.TargetID),
		zap.Stringer("state", m.State), zap.Bool("stored", stored))
}

func (c *control) takeOwners(r *metastore.Record) error {
	t, err := ownertable.Decode(r.Value)
	if err != nil {
		return err
	}
	service := ident.Service(strings.TrimPrefix(r.Key, ownersPrefix))
	c.owners[service] = t
	c.stale = true
	logevent.Log(c.log, logevent.TableInForce, zap.String("service", string(service)), zap.Int64("offset", int64(r.Offset)), zap.Int("rows", len(t.Rows)))
	if service == ident.Service(c.self.Service) {
		c.ownTableChanged(t, r.Offset)
	}
	return nil
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
		c.joinedAt = clock.Never
		c.agent.Left()
		c.self.JoinedMS = time.Now().UnixMilli()
		c.changeSelf()
	case m.Incarnation == c.self.Incarnation:
		c.stored = max(c.stored, m.Revision)
		if c.joinedAt == clock.Never {
			c.joinedAt = clock.Now()
			c.agent.Joined(c.joinedAt)
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
	c.registerAt = clock.Never
	c.stale = true
	c.agent.Changed(clock.Now())
	if c.loaded {
		c.d.members.request(c.self)
	}
	c.status.soon = true
}

// takeConfiguration applies the operator's configuration.
func (c *control) takeConfiguration(value []byte) {
	cfg, err := platform.DecodeConfiguration(value)
	if err != nil {
		logevent.Log(c.log, logevent.ConfigurationInvalid, zap.Error(err))
		return
	}
	if c.routes != nil && cfg.Version <= c.routes.Version() {
		return
	}
	c.routes, c.rawCfg = routetable.New(cfg), value
	c.newest = max(c.newest, uint64(cfg.Version))
	c.stale, c.status.soon = true, true
	logevent.Log(c.log, logevent.ConfigurationInForce, zap.Uint64("version", uint64(cfg.Version)), zap.Int("routes", len(cfg.Routes)), zap.Int("services", len(cfg.Services)))
}

// beginStop tells callers and other daemons that this process is about to stop.
func (c *control) beginStop() {
	c.stopping, c.stale, c.status.soon = true, true, true
}

// publish builds the view anew.
func (c *control) publish() {
	c.stale = false
	v := &view{routes: c.routes, services: make(map[ident.Service]*serviceView), daemons: 1, stopping: c.stopping}
	v.behind = c.routes != nil && c.newest > uint64(c.routes.Version())
	if c.self.State != fleet.TargetUnknown {
		v.add(c.targetView(&c.self, true, false, c.stopping))
	}
	for _, p := range c.dir.Peers() {
		if !c.silent[ident.Instance(p.Member.Instance)] {
			v.daemons++
		}
		if p.Member.State != fleet.TargetUnknown {
			v.add(c.targetView(&p.Member, false, c.silent[ident.Instance(p.Member.Instance)], p.Stopping))
		}
	}
	for name, t := range c.owners {
		v.service(name).owners = t
	}
	if old := c.view.Load(); old.routes == nil && v.ready() {
		logevent.Log(c.log, logevent.SidecarReady, zap.Uint64("config", uint64(v.routes.Version())), zap.Duration("after", clock.Now().Sub(c.d.started)))
	}
	c.view.Store(v)
	c.d.viewChanged()
}

func (v *view) service(name ident.Service) *serviceView {
	s := v.services[name]
	if s == nil {
		s = &serviceView{byName: make(map[ident.Instance]*targetView)}
		v.services[name] = s
	}
	return s
}

func (v *view) add(t *targetView, service ident.Service) {
	s := v.service(service)
	s.targets = append(s.targets, t)
	s.byName[t.instance] = t
}

func (c *control) targetView(m *fleet.Member, local, silent, stopping bool) (*targetView, ident.Service) {
	name := ident.Instance(m.Instance)
	return &targetView{
		instance: name,
		target:   ownertable.Target{ID: m.TargetID, Born: m.TargetBorn},
		addr:     m.Addr,
		zone:     ident.Zone(m.Zone),
		local:    local,
		ready:    m.State == fleet.TargetReady && !stopping,
		silent:   silent,
		load:     c.load(name, m.Slots),
	}, ident.Service(m.Service)
}

func (c *control) load(name ident.Instance, slots int) *targetLoad {
	l := c.loads[name]
	if l == nil {
		l = new(targetLoad)
		l.report(&fleet.Load{Limit: slots, Pace: firstPace})
		c.loads[name] = l
	}
	return l
}

// firstPace is assumed of a target before its daemon reports one.
const firstPace = 0.35

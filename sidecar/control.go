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

	self fleet.Member
	// registerAt is when the own record is written although there is no target.
	registerAt clock.Time
	dir        *fleet.Directory
	silent     map[ident.Instance]bool
	loads      map[ident.Instance]*targetLoad

	loaded  bool             // the directory was read once
	read    metastore.Offset // end of what was applied
	known   atomic.Int64     // copy of read
	spread  fleet.Spread
	follows atomic.Bool // copy of spread.Reads
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
	c.follows.Store(true)
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

// takeDirectory applies records of the directory, read from an offset on or,
// if whole, the newest of each key.
func (c *control) takeDirectory(from metastore.Offset, b metastore.Batch, sent clock.Time, whole bool) {
	next := b.End
	if !whole && len(b.Records) > 0 {
		next = b.Records[len(b.Records)-1].Offset + 1
	}
	for i := range b.Records {
		c.takeRecord(&b.Records[i])
	}
	if !whole {
		c.tellNews(from, b.Records)
	}
	c.advance(next)
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

// takeConfiguration applies the operator's configuration.
func (c *control) takeConfiguration(value []byte) {
	cfg, err := platform.DecodeConfiguration(value)
	if err != nil {
		logevent.Log(c.log, logevent.ConfigRejected, zap.Error(err))
		return
	}
	if c.routes != nil && cfg.Version <= c.routes.Version() {
		return
	}
	c.routes, c.rawCfg = routetable.New(cfg), value
	c.newest = max(c.newest, uint64(cfg.Version))
	c.stale, c.status.soon = true, true
	logevent.Log(c.log, logevent.RoutesInForce, zap.Uint64("version", uint64(cfg.Version)), zap.Int("routes", len(cfg.Routes)), zap.Int("services", len(cfg.Services)))
}

// beginStop tells callers and other daemons that this process is about to stop.
func (c *control) beginStop() {
	c.stopping, c.stale, c.status.soon = true, true, true
}

package sidecar

import (
	"cmp"
	"context"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/evacuation"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/freshness"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/metastore"
	"github.com/parsleystack/parsleystack/ownertable"
	"github.com/parsleystack/parsleystack/routetable"
)

const (
	directoryTopic = "parsley"
	memberPrefix   = "member/" // of the key of a daemon's record
	ownersPrefix   = "owners/" // of the key of a service's assignment table

	// tickInterval is the time between checks of failures, leases and plans.
	tickInterval = 50 * time.Millisecond
	// targetStartWait is how long a new daemon waits for its target's first
	// heartbeat before it registers itself. Targets start within some seconds.
	targetStartWait = 2500 * time.Millisecond
	// eventQueueSize is the number of events that may wait while the control
	// goroutine is busy.
	eventQueueSize = 256
)

// control is the state that the control goroutine owns. Other goroutines use only
// events, do, doAndWait, view and the atomic fields.
type control struct {
	d         *Daemon
	log       *zap.Logger
	events    chan func()
	view      atomic.Pointer[view]
	viewStale bool // the view must be rebuilt

	self fleet.Member
	// registerAt is when the own record is written even without a target; Never if
	// no such write is due.
	registerAt clock.Time
	dir        *fleet.Directory
	suspected  map[ident.Instance]bool
	loads      map[ident.Instance]*targetLoad

	directoryLoaded bool             // the directory was read whole once
	applied         metastore.Offset // offset after the newest applied record
	appliedShared   atomic.Int64     // copy of applied for other goroutines
	fanOut          fleet.Fanout
	readsDirectory  atomic.Bool // copy of fanOut.ReadsStore
	keyOffsets      map[string]metastore.Offset
	history         recordHistory

	routes         *routetable.Table
	rawConfig      []byte // the encoded configuration, as the operator wrote it
	newestConfig   uint64 // newest configuration version that is known to exist
	config         configurationState
	receivedStatus bool // another daemon has sent a status to this process

	tables     map[ident.Service]*ownertable.Table
	agent      *ownertable.Agent
	heartbeats heartbeatState
	status     statusState

	reports        map[string]storedReport // by key
	reportInFlight bool                    // the append of a report has not returned
	nextReport     clock.Time

	crashes crashState

	stopping bool

	zones          evacuation.Zones
	evacuatedZones []ident.Zone // as of the last zonesChanged
	// keysUntil is until when targets of an evacuated zone still run requests with keys.
	keysUntil      map[ident.Zone]clock.Time
	evacuatedCount atomic.Int64 // of evacuatedZones, for other goroutines
}

func newControl(d *Daemon) *control {
	s := d.settings()
	c := &control{
		d: d, log: d.log, events: make(chan func(), eventQueueSize),
		dir: fleet.NewDirectory(), suspected: make(map[ident.Instance]bool), loads: make(map[ident.Instance]*targetLoad),
		keyOffsets: make(map[string]metastore.Offset), tables: make(map[ident.Service]*ownertable.Table),
		reports: make(map[string]storedReport), crashes: newCrashState(),
		agent:  ownertable.NewAgent(s.Instance, d.started),
		config: configurationState{tracker: freshness.NewTracker(freshness.NewPolicy(s.ConfigApplyTime))},
		self: fleet.Member{
			Instance: string(s.Instance), Incarnation: uint64(time.Now().UnixNano()), Revision: 1,
			Addr: cmp.Or(s.AnnounceAddr, s.LinkAddr), Zone: string(s.Zone), JoinedMS: time.Now().UnixMilli(), Service: string(s.Service),
		},
	}
	c.readsDirectory.Store(true)
	c.view.Store(&view{services: make(map[ident.Service]*serviceView)})
	return c
}

// run handles events and ticks until ctx ends.
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
		c.runQueuedEvents()
		if c.viewStale {
			c.publishView()
		}
	}
}

// runQueuedEvents handles the events that are already queued, so that one new view
// contains the effects of all of them.
func (c *control) runQueuedEvents() {
	for range eventQueueSize {
		select {
		case f := <-c.events:
			f()
		default:
			return
		}
	}
}

// do queues f to run on the control goroutine. It blocks while the queue is full.
func (c *control) do(f func()) { c.events <- f }

// doAndWait runs f on the control goroutine and waits for it to return. It reports
// false if ctx ends before; f may still run then.
func (c *control) doAndWait(ctx context.Context, f func()) bool {
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
	c.suspectPeers(now)
	c.renewSilentLinks(now)
	c.checkTargetHeartbeats(now)
	c.checkDeferred(now)
	c.checkCold(now)
	c.expireEvacuations(now)
	c.pushDeparture(now)
	c.sendStatuses(now)
	c.catchUp(now)
	c.fetchConfiguration(now)
	c.checkConfiguration(now)
	c.confirmLease(now)
	c.removeFailedPeers(now)
	c.writeReport(now)
	c.writeEvidence(now)
	c.registerWithoutTarget(now)
	c.plan(now)
}

// applyDirectory applies records read from the directory: those from the offset
// from on or, if snapshot is set, the newest of each key. sent is when the read was
// sent.
func (c *control) applyDirectory(from metastore.Offset, b metastore.Batch, sent clock.Time, snapshot bool) {
	entered := snapshot && b.End.Era() > c.era()
	if !entered && b.End.Era() != c.era() {
		return // read before a later era was entered
	}
	if entered {
		c.enterEra(b.End.Era())
		c.advance(b.End)
	}
	next := b.End
	if !snapshot && len(b.Records) > 0 {
		next = b.Records[len(b.Records)-1].Offset + 1
	}
	for i := range b.Records {
		c.applyRecord(&b.Records[i])
	}
	if snapshot {
		c.history.restart(next)
	} else {
		c.history.add(from, b.Records)
		c.forwardUpdates(from, b.Records)
	}
	c.advance(next)
	switch {
	case !c.directoryLoaded:
		c.directoryLoaded = true
		c.registerSelf()
		c.acknowledgeDeparture()
	case entered:
		c.writeSelfAgain(b.Records)
	}
	c.agent.Applied(uint64(c.applied), sent, next >= b.End)
	c.plan(clock.Now())
}

func (c *control) applyRecord(r *metastore.Record) {
	if r.Offset.Era() != c.era() {
		return
	}
	if at, seen := c.keyOffsets[r.Key]; seen && r.Offset <= at {
		return
	}
	c.keyOffsets[r.Key] = r.Offset
	var err error
	switch {
	case strings.HasPrefix(r.Key, memberPrefix):
		err = c.applyMember(r)
	case strings.HasPrefix(r.Key, ownersPrefix):
		err = c.applyTable(r)
	case strings.HasPrefix(r.Key, reportPrefix):
		err = c.applyReport(r)
	case strings.HasPrefix(r.Key, crashesPrefix):
		err = c.applyEvidence(r)
	}
	if err != nil {
		logevent.Log(c.log, logevent.RecordIgnored, zap.String("key", r.Key), zap.Int64("offset", int64(r.Offset)), zap.Error(err))
	}
}

func (c *control) applyTable(r *metastore.Record) error {
	t, err := ownertable.Decode(r.Value)
	if err != nil {
		return err
	}
	service := tableService(r.Key)
	if t.Era() != uint32(c.era()) {
		c.applyOlderTable(service, t, r.Offset)
		return nil
	}
	if known := c.tables[service]; known != nil && known.Era() < t.Era() {
		logevent.Log(c.log, logevent.FirstTableOfEra, zap.String("service", string(service)), zap.Uint32("era", t.Era()))
	}
	c.tables[service] = t
	c.viewStale = true
	logevent.Log(c.log, logevent.TableInForce, zap.String("service", string(service)), zap.Int64("offset", int64(r.Offset)), zap.Int("rows", len(t.Shards)))
	if service == ident.Service(c.self.Service) {
		c.updateOwnTable(t, r.Offset)
	}
	return nil
}

// announceStop marks the daemon as stopping, for readiness checks and in its next
// status.
func (c *control) announceStop() {
	c.stopping, c.viewStale, c.status.urgent = true, true, true
}

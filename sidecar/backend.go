package sidecar

import (
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/coldstart"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/httphead"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/ownertable"
	"github.com/parsleystack/parsleystack/platform"
	"github.com/parsleystack/parsleystack/target"
	"github.com/parsleystack/parsleystack/transport"
	"github.com/parsleystack/parsleystack/wire"
	"github.com/parsleystack/parsleystack/workqueue"
)

const (
	// spareConns is the number of connections to a target beyond its slots, since
	// some are still closing while new requests start.
	spareConns = 8
	// targetDialTimeout bounds a connection attempt to the local target.
	targetDialTimeout = 300 * time.Millisecond
	// targetMaxIdle is below the idle timeout of targets that do not announce one.
	targetMaxIdle = 8 * time.Second
	// maxTargetBody is the largest response body of a target, in bytes.
	maxTargetBody = 32 << 20
	// targetReceiveBuffer is the size of the receive buffer of a connection to the target. A
	// target of 64 slots may answer on 72 connections at a time.
	targetReceiveBuffer = 32 << 10
	// leavingServeFraction is the part of its drain time in which a leaving target
	// still accepts requests, from daemons that do not have its new state yet.
	leavingServeFraction = 0.6
)

// targetIncarnation is the state of one incarnation of the target and the client
// to it. It is replaced, not changed.
type targetIncarnation struct {
	service    ident.Service
	target     ownertable.Target
	state      fleet.TargetState
	refuseFrom clock.Time // requests are refused from this time on; Never if there is no limit
	client     *target.Client
	runs       *runTracker
}

// keyGrant is the set of key ranges granted to the target in the answer to its
// last heartbeat.
type keyGrant struct {
	target  ownertable.Target
	ranges  []ownertable.Grant // sorted by key, without overlap
	expires clock.Time
}

// backend queues requests for the target on the same instance and sends them to
// it. All requests to the target go through it.
type backend struct {
	d           *Daemon
	incarnation atomic.Pointer[targetIncarnation]
	grant       atomic.Pointer[keyGrant]
	// closing is set once the process accepts no more requests for the target.
	closing atomic.Bool
	// evacuated is set while the zone of the target is evacuated.
	evacuated atomic.Bool
	// keysUntil is the clock.Time until which requests with keys are still run in the evacuated
	// zone.
	keysUntil atomic.Int64

	keyLoads keyLoads

	mu      sync.Mutex
	queue   *workqueue.Queue
	nextID  uint64
	tickets map[uint64]*ticket // of waiting requests, by item ID

	gate *suspectGate

	stated    statementState
	cold      coldState
	advanceAt clock.Time // when a timer of scheduleAdvance fires; Never if none runs
}

// ticket holds the queue's decision on one request.
type ticket struct {
	id      uint64
	done    chan struct{} // closed once started or refused
	started bool
	refusal workqueue.Refusal
}

func newBackend(d *Daemon) *backend {
	b := &backend{d: d, queue: workqueue.New(1), tickets: make(map[uint64]*ticket), gate: newSuspectGate(), cold: newColdState(clock.Now())}
	b.queue.PaceCold(b.cold.tracker)
	return b
}

// setTarget updates the target's state. A new incarnation gets a new client, and the
// waiting requests stay in the queue. leaving is when the target announced its
// departure, or Never. maxConns is the number of connections that the target accepts, 0 if
// that is not known. Only the control goroutine calls it.
func (b *backend) setTarget(m *fleet.Member, leaving clock.Time, maxConns int) {
	slots, conns := m.Slots, m.Slots+spareConns
	if maxConns > 0 {
		slots, conns = min(slots, maxConns), min(conns, maxConns)
	}
	current := &targetIncarnation{service: ident.Service(m.Service), target: ownertable.Target{ID: m.TargetID, StartTime: m.TargetStartMS}, state: m.State}
	b.mu.Lock()
	old := b.incarnation.Load()
	replaced := old == nil || old.target != current.target
	if stated := b.stated.leavingSince; !replaced && stated != clock.Never && (leaving == clock.Never || stated.Before(leaving)) {
		leaving = stated
	}
	current.refuseFrom = b.refuseFrom(leaving)
	if replaced {
		current.client = target.New(target.Config{
			Addr: b.d.settings().TargetAddr, MaxConns: conns, WarmConns: 1, MaxBody: maxTargetBody, Memory: b.d.memory,
			DialTimeout: targetDialTimeout, ReceiveBuffer: targetReceiveBuffer, AllowCloseDelimited: true, MaxIdle: targetMaxIdle,
			OnClosed:     func() { b.doubtCold(current, coldstart.ConnectionClosed) },
			OnUploadWait: func(d time.Duration) { b.d.metrics.uploadWait.Update(d.Seconds()) },
		})
		current.runs = newRunTracker(current.target)
	} else {
		current.client, current.runs = old.client, old.runs
		current.client.SetMaxConns(conns)
	}
	b.incarnation.Store(current)
	if replaced {
		b.queue = b.queue.ForNewIncarnation(slots)
		b.stated = statementState{}
		if old != nil {
			b.cold.tracker.Replaced(clock.Now())
		}
	}
	b.queue.SetSlots(slots)
	if m.State == fleet.TargetUnreachable {
		b.applyDecisions(nil, b.queue.RefuseWaiting())
	}
	b.mu.Unlock()
	if replaced && old != nil {
		if old.refuseFrom == clock.Never { // it has not announced its departure
			if crash, ok := b.targetCrashed(old.runs, clock.Never); ok {
				b.d.control.observeCrash(crash, nil)
			}
		}
		old.client.Close()
	}
}

// heartbeatReceived records a heartbeat of the current target.
func (b *backend) heartbeatReceived(hb *platform.Heartbeat, now clock.Time) {
	if current := b.incarnation.Load(); current != nil {
		current.runs.alive(now)
		b.observeCold(coldstart.HeartbeatStatement(true, hb.WarmupRemaining, now), now)
	}
}

// refuseFrom returns the time from which on requests are refused to a target that leaves
// since a time, or Never.
func (b *backend) refuseFrom(leaving clock.Time) clock.Time {
	if leaving == clock.Never {
		return clock.Never
	}
	return leaving.Add(time.Duration(leavingServeFraction * float64(b.d.settings().DrainTime)))
}

// setLeavingSince records since when the current target leaves by its own statement, so that
// requests are refused in time even before the control goroutine knows. The caller holds
// b.mu.
func (b *backend) setLeavingSince(t clock.Time) {
	b.stated.leavingSince = t
	current := *b.incarnation.Load()
	if from := b.refuseFrom(t); current.refuseFrom == clock.Never || from.Before(current.refuseFrom) {
		current.refuseFrom = from
	}
	b.incarnation.Store(&current)
}

// setGrant sets the ranges that the current incarnation may serve until a time.
func (b *backend) setGrant(grants []ownertable.Grant, until clock.Time) {
	current := b.incarnation.Load()
	b.grant.Store(&keyGrant{target: current.target, ranges: grants, expires: until})
}

func (g *keyGrant) contains(key uint32) bool {
	lo, hi := 0, len(g.ranges)
	for lo < hi {
		mid := (lo + hi) / 2
		if g.ranges[mid].To < key {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo < len(g.ranges) && g.ranges[lo].Contains(key)
}

// load returns the load of the target, as reported to other daemons. Responses that wait
// for the link count as waiting requests, and slots that a rate limit keeps empty as
// running ones.
func (b *backend) load() fleet.Load {
	now := clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	_, waiting, _ := b.queue.Load()
	occupied, slots := b.queue.Occupancy(now)
	latencyRatio, failureRatio := b.queue.TargetStats()
	return fleet.Load{
		Running: occupied, Waiting: waiting + b.d.egress.Transfers(), Limit: slots, LatencyRatio: latencyRatio, FailureRatio: failureRatio,
		OfferedRatio: b.queue.OfferedLoad(now), RateLimited: b.stated.limit.Limited, RateLimit: b.stated.limit.Rate,
	}
}

// localLoad is load for requests on this instance, whose responses don't wait for the link.
func (b *backend) localLoad() (inFlight, slots int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, waiting, _ := b.queue.Load()
	occupied, slots := b.queue.Occupancy(clock.Now())
	return occupied + waiting, slots
}

// requests returns the numbers of requests that run at the target and wait for it, and the
// largest number that runs concurrently.
func (b *backend) requests() (running, waiting, limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.Load()
}

// canceler cancels a request whose caller has disconnected. Its methods may be called at
// any time, from any goroutine.
type canceler struct {
	// callerLeft looks whether the caller has left. It is nil for a request of another
	// daemon, which looks itself.
	callerLeft func() bool

	mu       sync.Mutex
	canceled bool
	onCancel func()
}

// Cancel implements transport.Canceler.
func (c *canceler) Cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.canceled = true
	if c.onCancel != nil {
		c.onCancel()
	}
}

// checkCaller reports whether the request is canceled, or its caller has just left.
func (c *canceler) checkCaller() bool {
	if c.callerLeft != nil && c.callerLeft() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.canceled
}

// setOnCancel replaces the function that Cancel calls. It reports false if the
// request is canceled already.
func (c *canceler) setOnCancel(then func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onCancel = then
	return !c.canceled
}

// serve runs a request at the target and fills resp. link carries the response; it is
// zero for a request that arrived on this instance.
func (b *backend) serve(req *wire.Request, resp *wire.Response, c *canceler, link workqueue.Link) {
	now := clock.Now()
	b.adoptStatement(req)
	if req.Keyed {
		b.keyLoads.count(uint32(req.Point), now)
	}
	r := targetRequest{
		b: b, req: req, resp: resp, cancel: c, incarnation: b.incarnation.Load(),
		item: workqueue.Item{
			Class: string(req.Class), Priority: req.Priority, Arrived: now,
			Objective: now.Add(req.Objective), Deadline: now.Add(req.Timeout), Link: link, Call: isRunCall(req),
			Movable: !req.Keyed && b.placeableElsewhere(),
		},
	}
	r.serve()
	load := b.load()
	resp.InFlight, resp.Capacity = uint32(load.Running+load.Waiting), uint32(load.Limit)
}

// enqueue adds an item to the queue and waits until it is started or refused.
func (b *backend) enqueue(item *workqueue.Item, c *canceler) *ticket {
	t := &ticket{}
	b.mu.Lock()
	b.nextID++
	item.ID, t.id = b.nextID, b.nextID
	now := clock.Now()
	verdict, refusal := b.queue.Arrive(*item, now)
	switch verdict {
	case workqueue.Start:
		t.started = true
		b.mu.Unlock()
		return t
	case workqueue.Refuse:
		t.refusal = refusal
		if refusal.RateLimited {
			b.countCold(true, now)
		}
		if refusal.Slow {
			b.d.metrics.count(metricSlowRefused)
		}
		b.mu.Unlock()
		return t
	}
	t.done = make(chan struct{})
	b.tickets[t.id] = t
	b.countCold(false, now)
	b.scheduleAdvance(now)
	b.mu.Unlock()
	if !c.setOnCancel(func() { b.removeWaiting(t) }) {
		b.removeWaiting(t)
	}
	b.awaitDecision(t, item)
	c.setOnCancel(nil)
	return t
}

// awaitDecision waits for the queue's decision. At the latest time at which the item may
// start it advances the queue, which then refuses the item.
func (b *backend) awaitDecision(t *ticket, item *workqueue.Item) {
	b.mu.Lock()
	latest := b.queue.LatestStart(item)
	b.mu.Unlock()
	timer := time.NewTimer(latest.Sub(clock.Now()) + time.Nanosecond)
	defer timer.Stop()
	for {
		select {
		case <-t.done:
			return
		case <-timer.C:
			b.mu.Lock()
			now := clock.Now()
			b.applyDecisions(b.queue.Advance(now))
			b.scheduleAdvance(now)
			latest = b.queue.LatestStart(item) // may have changed
			b.mu.Unlock()
			timer.Reset(max(latest.Sub(now), time.Millisecond))
		}
	}
}

// removeWaiting removes a request from the queue if it has not started.
func (b *backend) removeWaiting(t *ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.queue.Cancel(t.id) {
		b.d.metrics.count(metricCanceledUnsent)
		b.decideTicket(t.id, false, workqueue.Refusal{ID: t.id})
	}
}

// applyDecisions resolves the tickets that the queue has decided. The caller holds
// b.mu.
func (b *backend) applyDecisions(started []uint64, refused []workqueue.Refusal) {
	for _, id := range started {
		b.decideTicket(id, true, workqueue.Refusal{})
	}
	for _, r := range refused {
		b.decideTicket(r.ID, false, r)
	}
}

func (b *backend) decideTicket(id uint64, started bool, refusal workqueue.Refusal) {
	if t := b.tickets[id]; t != nil {
		delete(b.tickets, id)
		t.started, t.refusal = started, refusal
		close(t.done)
	}
}

// finish records the end of an item that was started. bytes is the size of the response,
// if there is one.
func (b *backend) finish(item *workqueue.Item, completion workqueue.Completion, took time.Duration, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if completion == workqueue.Answered {
		b.queue.ObserveResponse(item.Class, bytes)
	}
	now := clock.Now()
	b.suspectCold(item, completion, took, now)
	b.applyDecisions(b.queue.Finish(item.ID, completion, took, now))
	b.scheduleAdvance(now)
}

// responseBytes returns the expected size of the response to a request.
func (b *backend) responseBytes(class string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.queue.ResponseBytes(class)
}

// close refuses the waiting requests and all later ones.
func (b *backend) close() {
	b.closing.Store(true)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.applyDecisions(nil, b.queue.Close())
}

// finishesBeforeStop reports whether a request that starts now is likely to finish
// before the process ends.
func (b *backend) finishesBeforeStop(item *workqueue.Item) bool {
	s := b.d.stopping.Load()
	if s == nil {
		return true
	}
	now := clock.Now()
	if s.closed(now) {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Add(time.Duration(slowRunFactor * float64(b.queue.ExpectedTime(item, now)))).Before(s.ends)
}

// recordFailure logs and counts an attempt that got no response from the target. The
// target is unreachable if it refuses connections and none is open.
func (b *backend) recordFailure(incarnation *targetIncarnation, id []byte, sent bool, err error) {
	b.d.metrics.count(metricTargetFailed)
	b.d.recordOversize(err)
	b.doubtColdAfter(incarnation, err)
	logevent.Log(b.d.log, logevent.TargetFailed, zap.ByteString("request", id), zap.String("target", incarnation.target.ID), zap.Bool("sent", sent), zap.Error(err))
	if open, _ := incarnation.client.Conns(); open == 0 && errors.Is(err, syscall.ECONNREFUSED) {
		b.d.control.do(func() { b.d.control.targetRefused(incarnation.target.ID) })
	}
}

// recordMalformed logs and counts a response of the target whose head or trailer is malformed.
func (d *Daemon) recordMalformed(r *targetRequest, err error) {
	event, metric := logevent.ResponseMalformed, metricResponseMalformed
	var status *httphead.StatusError
	if errors.As(err, &status) {
		event, metric = logevent.StatusUnusable, metricStatusUnusable
	}
	d.metrics.count(metricTargetFailed)
	d.metrics.count(metric)
	logevent.Log(d.log, event, zap.ByteString("request", r.req.RequestID), zap.String("target", r.incarnation.target.ID), zap.Error(err))
}

// ServeRequest implements transport.Handler.
func (d *Daemon) ServeRequest(e *transport.Exchange) {
	var resp wire.Response
	c := new(canceler)
	e.OnCancel(c)
	defer resp.Release()
	if c.checkCaller() {
		d.metrics.count(metricCanceledUnsent)
		resp.Kind, resp.Reason = outcome.NotRun, outcome.Canceled
		e.OnCancel(nil)
		_ = e.Respond(&resp) // nobody waits for it
		return
	}
	d.backend.serve(&e.Request, &resp, c, workqueue.Link{BytesPerSecond: d.egress.Rate(), Backlog: d.egress.Backlog()})
	e.OnCancel(nil)
	if err := e.Respond(&resp); err != nil {
		resp.Release()
		resp.Reset()
		resp.Kind, resp.Reason = outcome.Unknown, outcome.BadRequest
		_ = e.Respond(&resp) // an error means that the connection is closed, which the peer detects itself
	}
}

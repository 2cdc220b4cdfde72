package sidecar

import (
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/fleet"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/ownertable"
	"github.com/parsleystack/parsleystack/target"
	"github.com/parsleystack/parsleystack/transport"
	"github.com/parsleystack/parsleystack/wire"
	"github.com/parsleystack/parsleystack/workqueue"
)

const (
	// spareConns is the number of connections to a target beyond its slots, for
	// those that end while new requests begin.
	spareConns = 8
	// targetDialTimeout bounds a connection attempt on the own instance.
	targetDialTimeout = 300 * time.Millisecond
	// targetMaxIdle is below the idle timeout of targets that state none.
	targetMaxIdle = 8 * time.Second
	// maxTargetBody is the largest answer in bytes.
	maxTargetBody = 32 << 20
	// leavingShare is the part of a leaving target's drain time in which it
	// still takes requests of daemons that have not heard of its leaving.
	leavingShare = 0.6
)

// life is one life of the target.
type life struct {
	service  ident.Service
	target   ownertable.Target
	state    fleet.TargetState
	noneFrom clock.Time // no request is sent after it; Never if there is no end
	client   *target.Client
}

// held is what the target holds, as of its last heartbeat.
type held struct {
	target ownertable.Target
	ranges []ownertable.Grant // of rising keys
	until  clock.Time
}

// backend is the only way to the target on the own instance.
type backend struct {
	d    *Daemon
	life atomic.Pointer[life]
	held atomic.Pointer[held]
	// closing is set once the process takes no more requests for the target.
	closing atomic.Bool
	// endsAt is the clock.Time at which the process breaks off what still runs;
	// 0 while it is not stopping.
	endsAt atomic.Int64

	keys keyLoads

	mu      sync.Mutex
	queue   *workqueue.Queue
	nextID  uint64
	tickets map[uint64]*ticket // of requests that wait
}

// ticket is the place of one request in the queue.
type ticket struct {
	id      uint64
	decided chan struct{} // closed once started or refused
	started bool
	refusal workqueue.Refusal
}

func newBackend(d *Daemon) *backend {
	return &backend{d: d, queue: workqueue.New(1), tickets: make(map[uint64]*ticket)}
}

// setTarget takes what is known of the target.
func (b *backend) setTarget(m *fleet.Member, leaving clock.Time) {
	l := &life{service: ident.Service(m.Service), target: ownertable.Target{ID: m.TargetID, Born: m.TargetBorn}, state: m.State}
	if leaving != clock.Never {
		l.noneFrom = leaving.Add(time.Duration(leavingShare * float64(b.d.settings().DrainTime)))
	}
	old := b.life.Load()
	fresh := old == nil || old.target != l.target
	if fresh {
		l.client = target.New(target.Config{
			Addr: b.d.settings().TargetAddr, MaxConns: m.Slots + spareConns, WarmConns: 1, MaxBody: maxTargetBody,
			DialTimeout: targetDialTimeout, AllowCloseDelimited: true, MaxIdle: targetMaxIdle,
		})
	} else {
		l.client = old.client
	}
	b.life.Store(l)
	b.mu.Lock()
	if fresh {
		b.queue = b.queue.Renewed(m.Slots)
	}
	b.queue.SetSlots(m.Slots)
	if m.State == fleet.TargetEnded {
		b.carryOut(nil, b.queue.Close())
	}
	b.mu.Unlock()
	if fresh && old != nil {
		old.client.Close()
	}
}

// setHeld takes what the target was granted until a time.
func (b *backend) setHeld(grants []ownertable.Grant, until clock.Time) {
	l := b.life.Load()
	b.held.Store(&held{target: l.target, ranges: grants, until: until})
}

func (h *held) holds(key uint32) bool {
	lo, hi := 0, len(h.ranges)
	for lo < hi {
		mid := (lo + hi) / 2
		if h.ranges[mid].To < key {
			lo = mid + 1
		} else {
			hi = mid
		}
	}
	return lo < len(h.ranges) && h.ranges[lo].Contains(key)
}

// load returns how busy the target is.
func (b *backend) load() fleet.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	running, waiting, limit := b.queue.Load()
	pace, failing := b.queue.Pace()
	return fleet.Load{Running: running, Waiting: waiting, Limit: limit, Pace: pace, Failing: failing, Offered: b.queue.Offered(clock.Now())}
}

// canceler ends a request whose caller has left. It may be told at any time.
type canceler struct {
	mu       sync.Mutex
	canceled bool
	then     func()
}

// Cancel implements transport.Canceler.
func (c *canceler) Cancel() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.canceled = true
	if c.then != nil {
		c.then()
	}
}

// set names what Cancel does from now on. It reports false if the request is
// canceled already.
func (c *canceler) set(then func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.then = then
	return !c.canceled
}

// serve runs a request at the target and fills resp.
func (b *backend) serve(req *wire.Request, resp *wire.Response, c *canceler) {
	now := clock.Now()
	if req.Keyed {
		b.keys.count(uint32(req.Point), now)
	}
	r := run{
		b: b, req: req, resp: resp, cancel: c, life: b.life.Load(),
		item: workqueue.Item{
			Class: string(req.Class), Priority: req.Priority, Arrived: now,
			Objective: now.Add(req.Objective), Deadline: now.Add(req.Timeout),
		},
	}
	r.serve()
	load := b.load()
	resp.InFlight, resp.Capacity = uint32(load.Running+load.Waiting), uint32(load.Limit)
}

// enter puts an item into the queue and waits for its turn.
func (b *backend) enter(item *workqueue.Item, c *canceler) *ticket {
	t := &ticket{}
	b.mu.Lock()
	b.nextID++
	item.ID, t.id = b.nextID, b.nextID
	verdict, refusal := b.queue.Arrive(*item, clock.Now())
	switch verdict {
	case workqueue.Start:
		t.started = true
		b.mu.Unlock()
		return t
	case workqueue.Refuse:
		t.refusal = refusal
		b.mu.Unlock()
		return t
	}
	t.decided = make(chan struct{})
	b.tickets[t.id] = t
	b.mu.Unlock()
	if !c.set(func() { b.leave(t) }) {
		b.leave(t)
	}
	b.await(t, item)
	c.set(nil)
	return t
}

// await waits until the item is decided, and refuses it at its deadline.
func (b *backend) await(t *ticket, item *workqueue.Item) {
	timer := time.NewTimer(item.Deadline.Sub(clock.Now()))
	defer timer.Stop()
	for {
		select {
		case <-t.decided:
			return
		case <-timer.C:
			b.mu.Lock()
			b.carryOut(b.queue.Advance(clock.Now()))
			b.mu.Unlock()
			timer.Reset(time.Millisecond)
		}
	}
}

// leave takes a waiting request out of the queue.
func (b *backend) leave(t *ticket) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.queue.Leave(t.id) {
		b.decide(t.id, false, workqueue.Refusal{ID: t.id})
	}
}

// carryOut passes the queue's decisions on. The lock is held.
func (b *backend) carryOut(started []uint64, refused []workqueue.Refusal) {
	for _, id := range started {
		b.decide(id, true, workqueue.Refusal{})
	}
	for _, r := range refused {
		b.decide(r.ID, false, r)
	}
}

func (b *backend) decide(id uint64, started bool, refusal workqueue.Refusal) {
	if t := b.tickets[id]; t != nil {
		delete(b.tickets, id)
		t.started, t.refusal = started, refusal
		close(t.decided)
	}
}

func (b *backend) finish(id uint64, ending workqueue.Ending, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.carryOut(b.queue.Finish(id, ending, took, clock.Now()))
}

// close takes no more requests and refuses those that wait.
func (b *backend) close() {
	b.closing.Store(true)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.carryOut(nil, b.queue.Close())
}

// endsInTime reports whether a request that starts now is likely to end before
// the process does.
func (b *backend) endsInTime(item *workqueue.Item) bool {
	end := clock.Time(b.endsAt.Load())
	if end == clock.Never {
		return true
	}
	now := clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Add(time.Duration(longRun * float64(b.queue.Expect(item, now)))).Before(end)
}

// failed notes why the target gave no answer.
func (b *backend) failed(l *life, id []byte, sent bool, err error) {
	b.d.metrics.count(metricTargetFailed)
	logevent.Log(b.d.log, logevent.TargetFailed, zap.ByteString("request", id), zap.String("target", l.target.ID), zap.Bool("sent", sent), zap.Error(err))
	if errors.Is(err, syscall.ECONNREFUSED) {
		b.d.control.do(func() { b.d.control.targetRefused(l.target.ID) })
	}
}

// ServeRequest implements transport.Handler.
func (d *Daemon) ServeRequest(e *transport.Exchange) {
	var resp wire.Response
	c := new(canceler)
	e.OnCancel(c)
	d.backend.serve(&e.Request, &resp, c)
	e.OnCancel(nil)
	if err := e.Respond(&resp); err != nil {
		resp.Reset()
		resp.Kind, resp.Reason = outcome.Unknown, outcome.BadRequest
		_ = e.Respond(&resp) // the connection is gone; its peer knows
	}
}

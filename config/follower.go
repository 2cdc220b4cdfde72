package config

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// FollowerConfig holds what a Follower works with.
type FollowerConfig struct {
	Parameters Parameters
	Log        platformlog.Log
	Peers      PeerClient  // may be nil
	Logger     *zap.Logger // may be nil
	// OnChange is called with each configuration put into force, by the
	// goroutine that holds the control state; it must not block. It may be nil.
	OnChange func(*InForce)
}

// Follower drives a Core: it reads the log, asks peers, appends snapshots and
// publishes the configuration in force.
type Follower struct {
	cfg     FollowerConfig
	core    *Core
	report  reporter
	events  chan Event
	orders  chan struct{} // a role or the peers were set
	inForce atomic.Pointer[InForce]
	status  atomic.Pointer[FollowerStatus]

	mu       sync.Mutex
	peers    *Peers    // set since the control goroutine looked; nil if not
	readsLog *ReadsLog // likewise
}

// FollowerStatus describes a Follower beside the configuration in force.
type FollowerStatus struct {
	NewestPeerOffset platformlog.Offset // newest offset that a peer has named
	Fault            error              // why the configuration is not complete; nil if it is
}

const (
	readTimeout   = 30 * time.Second
	pullTimeout   = 2 * time.Second
	appendTimeout = 5 * time.Second
	maxTick       = time.Second
	minTick       = time.Millisecond
	eventBuffer   = 64
)

// NewFollower returns a Follower whose configuration in force is empty and not
// ready until Run has reached the end of the stream.
func NewFollower(cfg FollowerConfig) *Follower {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	f := &Follower{
		cfg:    cfg,
		core:   NewCore(cfg.Parameters),
		report: reporter{logger: cfg.Logger},
		events: make(chan Event, eventBuffer),
		orders: make(chan struct{}, 1),
	}
	f.inForce.Store(newInForce(NewState(Schema), false, nil, nil))
	f.status.Store(&FollowerStatus{})
	return f
}

// InForce returns the configuration in force; it is never nil.
func (f *Follower) InForce() *InForce { return f.inForce.Load() }

// Status returns the state of the Follower itself.
func (f *Follower) Status() FollowerStatus { return *f.status.Load() }

// Answer answers a peer's question.
func (f *Follower) Answer(p Pull) *PullAnswer { return f.InForce().Answer(p) }

// PeerOffset notes the newest offset that a peer has in force. It does not
// block; a call that is lost to a full buffer is made good by the next one.
func (f *Follower) PeerOffset(peer ident.Node, offset platformlog.Offset) {
	if offset <= f.InForce().Offset {
		return
	}
	select {
	case f.events <- PeerOffset{Peer: peer, Offset: offset}:
	default:
	}
}

// SetPeers replaces the list of the daemons that can be asked. It does not
// block; of several calls the last one counts.
func (f *Follower) SetPeers(nodes []ident.Node) {
	f.mu.Lock()
	f.peers = &Peers{Nodes: nodes}
	f.mu.Unlock()
	f.nudge()
}

// SetReadsLog says whether the daemon follows the log itself or leaves that to
// its peers. It does not block; of several calls the last one counts.
func (f *Follower) SetReadsLog(on bool) {
	f.mu.Lock()
	f.readsLog = &ReadsLog{On: on}
	f.mu.Unlock()
	f.nudge()
}

func (f *Follower) nudge() {
	select {
	case f.orders <- struct{}{}:
	default:
	}
}

// takeOrders returns what was set since the last call.
func (f *Follower) takeOrders() []Event {
	f.mu.Lock()
	defer f.mu.Unlock()
	var events []Event
	if f.peers != nil {
		events = append(events, *f.peers)
	}
	if f.readsLog != nil {
		events = append(events, *f.readsLog)
	}
	f.peers = nil
	f.readsLog = nil
	return events
}

func (f *Follower) send(ctx context.Context, ev Event) {
	select {
	case f.events <- ev:
	case <-ctx.Done():
	}
}

// Run works until the context ends. It returns the context's error.
func (f *Follower) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.control(ctx, g) })
	return g.Wait()
}

// control owns the core.
func (f *Follower) control(ctx context.Context, g *errgroup.Group) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		events := []Event{Tick{}}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ev := <-f.events:
			events = []Event{ev}
		case <-f.orders:
			events = f.takeOrders()
		case <-timer.C:
		}
		for _, ev := range events {
			timer.Reset(f.step(ctx, g, ev))
		}
	}
}

// step hands an event to the core and returns the time until the next tick.
func (f *Follower) step(ctx context.Context, g *errgroup.Group, ev Event) time.Duration {
	now := clock.Now()
	eff := f.core.Step(ev, now)
	f.report.step(ev, &eff, f.core.BehindSince(), now)
	f.carryOut(ctx, g, eff)
	return untilWake(eff.Wake, now)
}

func untilWake(wake, now clock.Time) time.Duration {
	if wake == clock.Never {
		return maxTick
	}
	return min(max(wake.Sub(now), minTick), maxTick)
}

func (f *Follower) carryOut(ctx context.Context, g *errgroup.Group, eff Effects) {
	if eff.InForce != nil {
		f.inForce.Store(eff.InForce)
		if f.cfg.OnChange != nil {
			f.cfg.OnChange(eff.InForce)
		}
	}
	f.status.Store(&FollowerStatus{NewestPeerOffset: f.core.PeerSeen(), Fault: eff.Fault})
	if eff.Read != nil {
		g.Go(func() error { f.read(ctx, *eff.Read); return nil })
	}
	if eff.Pull != nil {
		g.Go(func() error { f.pull(ctx, *eff.Pull); return nil })
	}
	if eff.AppendSnapshot != nil {
		g.Go(func() error { f.appendSnapshot(ctx, eff.AppendSnapshot); return nil })
	}
}

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

// FollowerConfig holds the settings and dependencies of a Follower.
type FollowerConfig struct {
	Parameters Parameters
	Log        platformlog.Log
	Peers      PeerClient  // may be nil
	Logger     *zap.Logger // may be nil
	// OnChange is called with each configuration that is put in force. It runs
	// on the control goroutine and must not block. It may be nil.
	OnChange func(*InForce)
}

// Follower drives a Core: it reads the log, pulls from peers, appends snapshots
// and provides the configuration in force. All methods except Run are safe for
// concurrent use.
type Follower struct {
	cfg             FollowerConfig
	core            *Core
	report          reporter
	events          chan Event
	settingsChanged chan struct{} // signals that peers or readsLog was set
	inForce         atomic.Pointer[InForce]
	status          atomic.Pointer[FollowerStatus]

	mu       sync.Mutex
	peers    *Peers    // set by SetPeers and not yet handled; nil if none
	readsLog *ReadsLog // set by SetReadsLog and not yet handled; nil if none
}

// FollowerStatus describes the state of a Follower apart from its configuration
// in force.
type FollowerStatus struct {
	NewestPeerOffset platformlog.Offset // newest offset that a peer has reported
	Fault            error              // reason why the configuration is incomplete; nil if it is complete
	Behind           bool               // a peer has records that this daemon has not read
}

// Outdated reports whether the configuration in force is known not to be the newest or
// not to be complete.
func (s FollowerStatus) Outdated() bool { return s.Behind || s.Fault != nil }

const (
	readTimeout   = 30 * time.Second
	pullTimeout   = 2 * time.Second
	appendTimeout = 5 * time.Second
	maxTick       = time.Second
	minTick       = time.Millisecond
	eventBuffer   = 64
)

// NewFollower returns a Follower. Its configuration in force is empty and not
// ready until Run has read the stream up to its end.
func NewFollower(cfg FollowerConfig) *Follower {
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	f := &Follower{
		cfg:             cfg,
		core:            NewCore(cfg.Parameters),
		report:          reporter{logger: cfg.Logger},
		events:          make(chan Event, eventBuffer),
		settingsChanged: make(chan struct{}, 1),
	}
	f.inForce.Store(newInForce(NewState(Schema), false, nil, nil))
	f.status.Store(&FollowerStatus{})
	return f
}

// InForce returns the configuration in force; it is never nil.
func (f *Follower) InForce() *InForce { return f.inForce.Load() }

// Status returns the current status of the Follower.
func (f *Follower) Status() FollowerStatus { return *f.status.Load() }

// Answer returns the answer to a pull from a peer.
func (f *Follower) Answer(p Pull) *PullAnswer { return f.InForce().Answer(p) }

// PeerOffset records the newest offset that a peer has in force. It does not
// block: if the event buffer is full, the offset is dropped and a later call
// reports it again.
func (f *Follower) PeerOffset(peer ident.Node, offset platformlog.Offset) {
	if offset <= f.InForce().Offset {
		return
	}
	select {
	case f.events <- PeerOffset{Peer: peer, Offset: offset}:
	default:
	}
}

// SetPeers replaces the list of daemons to pull from. It does not block; a later
// call overrides an earlier one that has not been handled yet.
func (f *Follower) SetPeers(nodes []ident.Node) {
	f.mu.Lock()
	f.peers = &Peers{Nodes: nodes}
	f.mu.Unlock()
	f.notifyControl()
}

// SetReadsLog sets whether the daemon polls the log itself or relies on pulls
// from its peers. It does not block; a later call overrides an earlier one that
// has not been handled yet.
func (f *Follower) SetReadsLog(on bool) {
	f.mu.Lock()
	f.readsLog = &ReadsLog{On: on}
	f.mu.Unlock()
	f.notifyControl()
}

func (f *Follower) notifyControl() {
	select {
	case f.settingsChanged <- struct{}{}:
	default:
	}
}

// takeSettings returns the settings changed since the last call as events.
func (f *Follower) takeSettings() []Event {
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

// Run follows the configuration until the context is done and returns the
// context's error.
func (f *Follower) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return f.control(ctx, g) })
	return g.Wait()
}

// control runs the control goroutine, which owns the core.
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
		case <-f.settingsChanged:
			events = f.takeSettings()
		case <-timer.C:
		}
		for _, ev := range events {
			timer.Reset(f.step(ctx, g, ev))
		}
	}
}

// step passes an event to the core, applies the effects and returns the time
// until the next tick.
func (f *Follower) step(ctx context.Context, g *errgroup.Group, ev Event) time.Duration {
	now := clock.Now()
	eff := f.core.Step(ev, now)
	f.report.step(ev, &eff, f.core.BehindSince(), now)
	f.applyEffects(ctx, g, eff)
	return untilWake(eff.Wake, now)
}

func untilWake(wake, now clock.Time) time.Duration {
	if wake == clock.Never {
		return maxTick
	}
	return min(max(wake.Sub(now), minTick), maxTick)
}

func (f *Follower) applyEffects(ctx context.Context, g *errgroup.Group, eff Effects) {
	if eff.InForce != nil {
		f.inForce.Store(eff.InForce)
		if f.cfg.OnChange != nil {
			f.cfg.OnChange(eff.InForce)
		}
	}
	f.status.Store(&FollowerStatus{NewestPeerOffset: f.core.NewestPeerOffset(), Fault: eff.Fault, Behind: f.core.BehindSince() != clock.Never})
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

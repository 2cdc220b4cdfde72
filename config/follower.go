package config

import (
	"context"
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
	events  chan Event
	inForce atomic.Pointer[InForce]
	status  atomic.Pointer[FollowerStatus]
}

// FollowerStatus describes a Follower beside the configuration in force.
type FollowerStatus struct {
	PeerSeen platformlog.Offset // newest offset that a peer has named
	Fault    error              // why the configuration is not complete; nil if it is
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
		events: make(chan Event, eventBuffer),
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

// SetPeers replaces the list of the daemons that can be asked.
func (f *Follower) SetPeers(ctx context.Context, nodes []ident.Node) {
	f.send(ctx, Peers{Nodes: nodes})
}

// SetReadsLog says whether the daemon follows the log itself or leaves that to
// its peers.
func (f *Follower) SetReadsLog(ctx context.Context, on bool) { f.send(ctx, ReadsLog{On: on}) }

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
		var ev Event = Tick{}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ev = <-f.events:
		case <-timer.C:
		}
		now := clock.Now()
		eff := f.core.Step(ev, now)
		f.carryOut(ctx, g, eff)
		timer.Reset(untilWake(eff.Wake, now))
	}
}

func untilWake(wake, now clock.Time) time.Duration {
	if wake == clock.Never {
		return maxTick
	}
	return min(max(wake.Sub(now), minTick), maxTick)
}

func (f *Follower) carryOut(ctx context.Context, g *errgroup.Group, eff Effects) {
	f.report(eff)
	if eff.InForce != nil {
		f.inForce.Store(eff.InForce)
		if f.cfg.OnChange != nil {
			f.cfg.OnChange(eff.InForce)
		}
	}
	f.status.Store(&FollowerStatus{PeerSeen: f.core.PeerSeen(), Fault: eff.Fault})
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

// Package driver runs the state machine of package cell: it passes messages, log
// reads and clock readings to the state machine and carries out its effects.
//
// One goroutine, started by Run, owns the state machine. Log reads, appends and
// control requests to the target run in separate goroutines and post their
// results as events.
package driver

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/ident"
)

// eventQueueLength is the capacity of the event queue of the control goroutine.
// When the queue is full, messages from other members are dropped.
const eventQueueLength = 1024

// Driver runs one member of a cell.
type Driver struct {
	cfg    Config
	node   *cell.Node
	events chan cell.Event
	view   atomic.Pointer[cell.View]
	left   chan struct{}

	leftClosed bool
	granted    holdingSet
	// Owned by the control goroutine, except for sends on quiesced.
	releases releaseSet
	quiesced chan quiesced
	reader   *reader
	dropped  atomic.Uint64
}

// New returns a driver for a process that has just started. Run starts it.
func New(cfg Config) (*Driver, error) {
	cfg.setDefaults()
	node, err := cell.NewNode(cfg.Cell)
	if err != nil {
		return nil, err
	}
	d := &Driver{
		cfg:     cfg,
		node:    node,
		events:  make(chan cell.Event, eventQueueLength),
		left:    make(chan struct{}),
		granted: holdingSet{},

		releases: newReleaseSet(),
		quiesced: make(chan quiesced),
	}
	d.reader = newReader(cfg, d.post)
	v := node.View(clock.Now())
	d.view.Store(&v)
	return d, nil
}

// Run runs the member until ctx is done.
func (d *Driver) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.reader.run(ctx) })
	g.Go(func() error { return d.controlLoop(ctx) })
	return g.Wait()
}

// Deliver queues an encoded message from another member. It never blocks: when
// the queue is full, the message is dropped, like one lost by the network. An
// invalid message is reported to the Observer.
func (d *Driver) Deliver(from ident.Node, body []byte) {
	msg, err := cell.DecodeMessage(body)
	if err != nil {
		d.cfg.Observer.Failed(err)
		return
	}
	select {
	case d.events <- cell.Received{From: from, Message: msg}:
	default:
		d.dropped.Add(1)
	}
}

// Dropped returns the number of messages dropped because the queue was full.
func (d *Driver) Dropped() uint64 { return d.dropped.Load() }

// Post queues an event of the local process. If the queue is full, it blocks
// until there is space or ctx is done; in the latter case it returns ctx.Err().
func (d *Driver) Post(ctx context.Context, ev cell.Event) error {
	select {
	case d.events <- ev:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// View returns the latest copy of the node's state. It must not be modified.
func (d *Driver) View() *cell.View { return d.view.Load() }

// Left returns a channel that is closed when a planned stop is complete.
func (d *Driver) Left() <-chan struct{} { return d.left }

func (d *Driver) post(ctx context.Context, ev cell.Event) { _ = d.Post(ctx, ev) }

func (d *Driver) controlLoop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var ev cell.Event
		select {
		case <-ctx.Done():
			return nil
		case ev = <-d.events:
		case q := <-d.quiesced:
			if !d.releases.complete(q) {
				continue
			}
			ev = cell.Released{Range: q.grant.Range, Token: q.grant.Token}
		case <-timer.C:
			ev = cell.Tick{}
		}
		now := clock.Now()
		fx := d.node.Step(ev, now)
		d.apply(ctx, fx)
		timer.Reset(untilWake(fx.Wake, clock.Now()))
	}
}

func untilWake(wake, now clock.Time) time.Duration {
	if wake == clock.Never {
		return maxTickInterval
	}
	return min(max(wake.Sub(now), 0), maxTickInterval)
}

// apply carries out the effects in the order required by cell.Effects.
func (d *Driver) apply(ctx context.Context, fx cell.Effects) {
	if fx.HoldingsChanged {
		d.cfg.LeaseTable.Store(fx.Holdings)
		d.releases.retain(fx.Holdings)
		d.notifyTarget(ctx, fx.Holdings)
	}
	d.publishView()
	for _, h := range fx.Release {
		d.release(ctx, h)
	}
	for _, g := range fx.Prepare {
		go d.prepare(ctx, g)
	}
	for _, m := range fx.Messages {
		d.cfg.Sender.Send(m.To, m.Addr, m.Message.AppendTo(nil))
	}
	for _, a := range fx.Appends {
		go d.append(ctx, a)
	}
	if fx.ReadLog {
		d.reader.wake()
	}
	if len(fx.Audit) > 0 {
		d.cfg.Observer.Audited(fx.Audit)
	}
	if fx.Err != nil {
		d.cfg.Observer.Failed(fx.Err)
	}
	if fx.Left && !d.leftClosed {
		d.leftClosed = true
		close(d.left)
	}
}

func (d *Driver) publishView() {
	v := d.node.View(clock.Now())
	d.view.Store(&v)
	d.reader.setNextOffset(v.NextOffset)
	d.cfg.Observer.Changed(v)
}

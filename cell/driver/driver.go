// Package driver runs the ownership core of package cell: it feeds it with
// messages, log reads and time, and carries out its effects.
//
// One goroutine, that of Run, owns the core. Log reads, appends and orders to
// the target run in goroutines of their own and report back as events.
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

// eventQueueLength is the number of events that wait for the control
// goroutine; further messages of other members are dropped.
const eventQueueLength = 1024

// Driver runs one member of a cell.
type Driver struct {
	cfg    Config
	node   *cell.Node
	events chan cell.Event
	view   atomic.Pointer[cell.View]
	left   chan struct{}

	isLeft bool
	held   heldSet
	// Owned by the control goroutine, but for sends on quiesced.
	releases releaseSet
	quiesced chan quiesced
	reader   *reader
	dropped  atomic.Uint64
}

// New returns a driver of a process that has just started.
func New(cfg Config) (*Driver, error) {
	cfg.setDefaults()
	node, err := cell.NewNode(cfg.Cell)
	if err != nil {
		return nil, err
	}
	d := &Driver{
		cfg:    cfg,
		node:   node,
		events: make(chan cell.Event, eventQueueLength),
		left:   make(chan struct{}),
		held:   heldSet{},

		releases: newReleaseSet(),
		quiesced: make(chan quiesced),
	}
	d.reader = newReader(cfg, d.post)
	v := node.View(clock.Now())
	d.view.Store(&v)
	return d, nil
}

// Run drives the member until ctx ends.
func (d *Driver) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.reader.run(ctx) })
	g.Go(func() error { return d.control(ctx) })
	return g.Wait()
}

// Deliver hands in a message of another member. It never blocks: a message
// that finds the queue full is dropped, as if the network had lost it.
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

// Post hands in an event of the local process. It waits for room in the queue
// or for the end of ctx.
func (d *Driver) Post(ctx context.Context, ev cell.Event) error {
	select {
	case d.events <- ev:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// View returns the newest copy of the node's knowledge. It must not be
// modified.
func (d *Driver) View() *cell.View { return d.view.Load() }

// Left is closed when a planned stop is complete.
func (d *Driver) Left() <-chan struct{} { return d.left }

func (d *Driver) post(ctx context.Context, ev cell.Event) { _ = d.Post(ctx, ev) }

func (d *Driver) control(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var ev cell.Event
		select {
		case <-ctx.Done():
			return nil
		case ev = <-d.events:
		case q := <-d.quiesced:
			if !d.releases.end(q) {
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

// apply carries out the effects in the order that cell.Effects states.
func (d *Driver) apply(ctx context.Context, fx cell.Effects) {
	if fx.HoldingsChanged {
		d.cfg.LeaseTable.Store(fx.Holdings)
		d.releases.keep(fx.Holdings)
		d.orderTarget(ctx, fx.Holdings)
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
	if fx.Left && !d.isLeft {
		d.isLeft = true
		close(d.left)
	}
}

func (d *Driver) publishView() {
	v := d.node.View(clock.Now())
	d.view.Store(&v)
	d.reader.from(v.NextOffset)
	d.cfg.Observer.Changed(v)
}

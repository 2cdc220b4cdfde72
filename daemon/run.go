package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/cell/driver"
	"github.com/parsleystack/parsleystack/listen"
	"github.com/parsleystack/parsleystack/logevent"
	"github.com/parsleystack/parsleystack/transport"
)

// stopGrace is the time limit for closing connections after a planned stop.
const stopGrace = 2 * time.Second

// listeners holds the listeners of a daemon, one for each of its addresses.
type listeners struct {
	callers net.Listener
	daemons net.Listener
	admin   net.Listener
}

func (d *Daemon) listen() (*listeners, error) {
	at := d.settings.Listen
	ls, err := listen.All(at.Callers, at.Daemons, at.Admin)
	if err != nil {
		return nil, fmt.Errorf("daemon: %w", err)
	}
	for i, l := range ls {
		ls[i] = listen.Tolerant(l, func(err error) { logevent.Log(d.log, logevent.AcceptFailed, zap.Error(err)) })
	}
	return &listeners{callers: ls[0], daemons: ls[1], admin: ls[2]}, nil
}

// Run serves until ctx is canceled or an operator drains the daemon, then makes
// a planned stop and returns. After a drain, ctx need not be canceled.
func (d *Daemon) Run(ctx context.Context) error {
	ls, err := d.listen()
	if err != nil {
		return err
	}
	return d.run(ctx, ls)
}

// run implements Run on listeners that are already open.
func (d *Daemon) run(ctx context.Context, ls *listeners) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.ctx = work
	logevent.Log(d.log, logevent.DaemonStarted, zap.Stringer("node", d.node), zap.String("service", string(d.settings.Service)))

	g, gctx := errgroup.WithContext(work)
	d.serve(g, ls)
	g.Go(func() error { return ignoreCanceled(d.follower.Run(gctx)) })
	g.Go(func() error {
		return d.applyConfig(gctx, func(m *driver.Driver) { g.Go(func() error { return m.Run(gctx) }) })
	})
	g.Go(func() error { return d.watchTarget(gctx) })
	g.Go(func() error { return d.reportLoad(gctx) })
	g.Go(func() error { return d.watchUnavailable(gctx) })
	g.Go(func() error { return ignoreCanceled(d.target.Run(gctx)) })
	g.Go(func() error {
		defer cancel()
		return d.awaitStop(ctx, gctx)
	})
	err := g.Wait()
	logevent.Log(d.log, logevent.DaemonStopped, zap.Stringer("node", d.node), zap.Error(err))
	return err
}

func (d *Daemon) serve(g *errgroup.Group, ls *listeners) {
	g.Go(func() error { return d.gateway.Serve(ls.callers) })
	g.Go(func() error {
		if err := d.server.Serve(ls.daemons); !errors.Is(err, transport.ErrClosed) {
			return err
		}
		return nil
	})
	admin := &fasthttp.Server{Handler: d.serveAdmin, Name: "parsleyd", CloseOnShutdown: true}
	g.Go(func() error { return admin.Serve(secureListener(ls.admin, d.certs)) })
	g.Go(func() error {
		<-d.ctx.Done()
		sctx, cancel := context.WithTimeout(context.Background(), stopGrace)
		defer cancel()
		return errors.Join(
			ignoreDeadline(d.gateway.Shutdown(sctx)),
			ignoreDeadline(d.closeNetwork(sctx)),
			ignoreDeadline(admin.ShutdownWithContext(sctx)),
		)
	})
}

// closeNetwork asks the other daemons to send no further requests, completes
// the responses in progress until ctx ends, and closes all connections.
func (d *Daemon) closeNetwork(ctx context.Context) error {
	err := d.server.Shutdown(ctx)
	d.pool.Close()
	return err
}

// ignoreDeadline returns nil for a shutdown that timed out: connections that
// callers or daemons keep open for longer are closed, which is not an error of
// the planned stop.
func ignoreDeadline(err error) error {
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// awaitStop waits for a signal or an operator's drain command and then hands over
// all ranges and roles. fatal is canceled when another goroutine of the daemon
// has failed.
func (d *Daemon) awaitStop(signal, fatal context.Context) error {
	select {
	case <-fatal.Done():
		return nil
	case <-signal.Done():
		d.startDrain()
	case <-d.drainStarted:
	}
	logevent.Log(d.log, logevent.DrainStarted, zap.Stringer("node", d.node))
	if err := d.handOver(fatal); err != nil {
		logevent.Log(d.log, logevent.DrainLimitExceeded, zap.Error(err))
		return nil
	}
	logevent.Log(d.log, logevent.DrainFinished, zap.Stringer("node", d.node))
	return nil
}

// startDrain starts the planned stop. It reports false if the stop was already
// started.
func (d *Daemon) startDrain() bool {
	if d.draining.Swap(true) {
		return false
	}
	close(d.drainStarted)
	return true
}

// handOver leaves the cell, then waits for the requests in flight. The daemon
// continues to serve until its ranges are moved; after that it rejects requests
// with the outcome not run.
func (d *Daemon) handOver(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.settings.Lease.DrainLimit)
	defer cancel()
	if m := d.member.Load(); m != nil {
		if err := m.Post(ctx, cell.Leave{}); err != nil {
			return err
		}
		select {
		case <-m.Left():
		case <-ctx.Done():
		}
	}
	d.owner.Drain()
	return d.owner.Wait(ctx)
}

package link

import (
	"context"
	"errors"
	"fmt"
	"net"

	"golang.org/x/sync/errgroup"
)

// Network relays connections along its routes.
type Network struct {
	routes []Route
	gate   *gate
}

// New returns a Network without cuts.
func New(routes []Route) *Network {
	return &Network{routes: routes, gate: newGate()}
}

// Set replaces the cuts in force.
func (n *Network) Set(c Control) { n.gate.set(c) }

// Run relays connections until ctx is done. It returns an error if it cannot
// listen on the address of a route.
func (n *Network) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, r := range n.routes {
		listener, err := net.Listen("tcp", r.Listen)
		if err != nil {
			return fmt.Errorf("link: route to %s: %w; choose a free address", r.Instance, err)
		}
		context.AfterFunc(ctx, func() { _ = listener.Close() })
		g.Go(func() error { return n.accept(ctx, listener, r) })
	}
	return g.Wait()
}

func (n *Network) accept(ctx context.Context, listener net.Listener, r Route) error {
	for {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			continue
		}
		go n.relay(ctx, conn, r)
	}
}

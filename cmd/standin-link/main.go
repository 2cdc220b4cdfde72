// Command standin-link relays connections between daemons and cuts links on
// request of its control endpoint:
//
//	PUT /control  {"cuts": [{"from": "reports-1", "to": "*", "reset": false}]}
//
// Daemons announce the listen address of their route with listen.announce.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/parsleystack/parsleystack/standin/link"
)

type args struct {
	Control string   `arg:"--control,required" placeholder:"IP:PORT" help:"address of the control endpoint"`
	Routes  []string `arg:"--route,separate,required" placeholder:"INSTANCE=LISTEN=FORWARD" help:"route to a daemon; may be repeated"`
}

func main() {
	var a args
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "standin-link:", err)
		os.Exit(1)
	}
}

func run(a args) error {
	var routes []link.Route
	for _, s := range a.Routes {
		r, err := link.ParseRoute(s)
		if err != nil {
			return err
		}
		routes = append(routes, r)
	}
	network := link.New(routes)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	g, ctx := errgroup.WithContext(ctx)
	server := &fasthttp.Server{Handler: network.Handle, CloseOnShutdown: true}
	g.Go(func() error { return network.Run(ctx) })
	g.Go(func() error { return server.ListenAndServe(a.Control) })
	context.AfterFunc(ctx, func() { _ = server.Shutdown() })
	return g.Wait()
}

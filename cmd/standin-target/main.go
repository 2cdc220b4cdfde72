// Command standin-target serves a stand-in of a target;
// docs/TARGET-PROTOCOL.md states its protocol and control endpoint.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/parsleystack/parsleystack/standin/target"
)

type args struct {
	Listen       string        `arg:"--listen" default:"127.0.0.1:7500" help:"address to listen on"`
	Name         string        `arg:"--name" default:"target" help:"name in answers and records"`
	Service      string        `arg:"--service" help:"service that the target serves; without it the first path segment names it"`
	Slots        int           `arg:"--slots" default:"20" help:"requests at work at once"`
	Conns        int           `arg:"--connections" default:"130" help:"open connections"`
	ConnCost     time.Duration `arg:"--conn-cost" default:"1ms" help:"time that a new connection takes"`
	ServiceTime  time.Duration `arg:"--service-time" default:"5ms" help:"mean time of one request"`
	Dist         string        `arg:"--service-dist" default:"exponential" help:"constant, exponential or lognormal"`
	ColdStart    time.Duration `arg:"--cold-start" default:"0s" help:"time after the start for which requests are refused"`
	Unfenced     bool          `arg:"--unfenced" help:"ignore fencing tokens"`
	Shed         bool          `arg:"--shed" help:"refuse at full slots in place of waiting"`
	BodyBytes    int           `arg:"--body-bytes" default:"0" help:"padding of each answer"`
	Record       string        `arg:"--record" default:"all" help:"requests to record: all, mutating or none"`
	Runs         string        `arg:"--runs" help:"file that takes every run as a line at its start and at its end"`
	Seed         uint64        `arg:"--seed" default:"1" help:"seed of service times and faults"`
	DrainTimeout time.Duration `arg:"--drain-timeout" default:"30s" help:"longest wait for requests in flight at the end"`
}

func main() {
	var a args
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "standin-target:", err)
		os.Exit(1)
	}
}

func run(a args) error {
	if !target.Distribution(a.Dist).Valid() {
		return fmt.Errorf("--service-dist %q is unknown; use constant, exponential or lognormal", a.Dist)
	}
	journal, err := openJournal(a.Runs)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", a.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w; choose a free address with --listen", err)
	}
	t := target.New(target.Config{
		Name:        a.Name,
		Service:     a.Service,
		Slots:       a.Slots,
		Conns:       a.Conns,
		ConnCost:    a.ConnCost,
		ServiceTime: a.ServiceTime,
		Dist:        target.Distribution(a.Dist),
		ColdStart:   a.ColdStart,
		Unfenced:    a.Unfenced,
		Shed:        a.Shed,
		BodyBytes:   a.BodyBytes,
		Record:      a.Record,
		Journal:     journal,
		Seed:        a.Seed,
	})
	fmt.Println("standin-target: listening on", listener.Addr())
	return serve(t, listener, a.DrainTimeout)
}

// openJournal opens a file for appending, so that a restarted target keeps the
// runs of the earlier process.
func openJournal(path string) (io.Writer, error) {
	if path == "" {
		return nil, nil
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("--runs: %w", err)
	}
	return f, nil
}

// serve runs the target until a signal asks it to stop and the requests in
// flight have ended.
func serve(t *target.Target, listener net.Listener, drainTimeout time.Duration) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	served := make(chan error, 1)
	go func() { served <- t.Serve(listener) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	limit, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	return t.Shutdown(limit)
}

// Command standin-target serves a stand-in of a target;
// docs/TARGET-PROTOCOL.md describes its protocol and control endpoint.
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
	Name         string        `arg:"--name" default:"target" help:"name in responses and records"`
	Service      string        `arg:"--service" help:"service that the target serves; without it the first path segment names it"`
	Slots        int           `arg:"--slots" default:"20" help:"maximum concurrent requests"`
	Conns        int           `arg:"--connections" default:"130" help:"maximum open connections"`
	ConnCost     time.Duration `arg:"--conn-cost" default:"1ms" help:"time that a new connection takes"`
	ServiceTime  time.Duration `arg:"--service-time" default:"5ms" help:"mean time of one request"`
	Dist         string        `arg:"--service-dist" default:"exponential" help:"constant, exponential or lognormal"`
	ColdStart    time.Duration `arg:"--cold-start" default:"0s" help:"time after startup during which requests are rejected"`
	Unfenced     bool          `arg:"--unfenced" help:"ignore fencing tokens"`
	Shed         bool          `arg:"--shed" help:"reject requests when all slots are busy instead of queueing them"`
	BodyBytes    int           `arg:"--body-bytes" default:"0" help:"size of the padding of each response"`
	Record       string        `arg:"--record" default:"all" help:"requests to record: all, mutating or none"`
	Runs         string        `arg:"--runs" help:"file to write a line to at the start and at the end of each execution of a request"`
	Seed         uint64        `arg:"--seed" default:"1" help:"seed of service times and faults"`
	DrainTimeout time.Duration `arg:"--drain-timeout" default:"30s" help:"longest wait for requests in flight at shutdown"`
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

// openJournal opens a file for appending, so that the records of earlier
// processes are kept when the target is restarted.
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

// serve runs the target until a signal arrives, then shuts it down and waits up
// to drainTimeout for the requests in flight.
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

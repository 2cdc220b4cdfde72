// Command standin-log serves an in-memory stand-in of the platform's log
// service; docs/LOG-PROTOCOL.md describes its protocol and control endpoint.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/parsleystack/parsleystack/platformlog/logtest"
)

const shutdownTimeout = 2 * time.Second

type args struct {
	Listen     string        `arg:"--listen" default:"127.0.0.1:7400" help:"address to listen on"`
	Retention  time.Duration `arg:"--retention" default:"24h" help:"time for which records are kept"`
	AppendRate float64       `arg:"--append-rate" default:"500" help:"maximum appends per second over all streams"`
	Seed       uint64        `arg:"--seed" default:"1" help:"seed of the random faults"`
}

func main() {
	var a args
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "standin-log:", err)
		os.Exit(1)
	}
}

func run(a args) error {
	listener, err := net.Listen("tcp", a.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w; choose a free address with --listen", err)
	}
	server := logtest.NewServer(logtest.New(logtest.Options{
		Retention:  a.Retention,
		AppendRate: a.AppendRate,
		Seed:       a.Seed,
	}))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, func() { shutdown(server) })
	fmt.Println("standin-log: listening on", listener.Addr())
	return server.Serve(listener)
}

func shutdown(server *logtest.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "standin-log: shutdown:", err)
	}
}

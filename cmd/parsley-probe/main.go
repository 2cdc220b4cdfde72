// Command parsley-probe measures how long keys are unavailable when instances
// fail.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/parsleystack/parsleystack/probe"
)

type watchArgs struct {
	Entry    string        `arg:"--entry,required" help:"address of a daemon's port for callers"`
	Service  string        `arg:"--service" default:"reports"`
	Keys     int           `arg:"--keys" default:"48"`
	Interval time.Duration `arg:"--pause" default:"10ms" help:"time between two requests of a key"`
	Timeout  time.Duration `arg:"--timeout" default:"4s" help:"timeout of one request"`
	MinGap   time.Duration `arg:"--least" default:"60ms" help:"minimum length of a gap to write"`
	Out      string        `arg:"--out,required" help:"file to write the gaps to as CSV"`
}

type reportArgs struct {
	Gaps   string `arg:"--gaps,required" help:"file written by watch"`
	Losses string `arg:"--losses,required" help:"file with lines of Unix nanoseconds, instance, role and state of the log"`
}

type args struct {
	Watch  *watchArgs  `arg:"subcommand:watch" help:"request keys continuously until SIGTERM"`
	Report *reportArgs `arg:"subcommand:report" help:"match the gaps to the losses"`
}

func main() {
	var a args
	parser := arg.MustParse(&a)
	var err error
	switch {
	case a.Watch != nil:
		err = watch(a.Watch)
	case a.Report != nil:
		err = report(a.Report)
	default:
		parser.Fail("no subcommand is given; use watch or report")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "parsley-probe:", err)
		os.Exit(1)
	}
}

func watch(a *watchArgs) error {
	out, err := os.Create(a.Out)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	w := probe.NewWatcher(probe.Config{
		Entry:    a.Entry,
		Service:  a.Service,
		Keys:     a.Keys,
		Interval: a.Interval,
		Timeout:  a.Timeout,
		MinGap:   a.MinGap,
	}, out)
	if err := w.Run(ctx); err != nil {
		return err
	}
	return out.Close()
}

func report(a *reportArgs) error {
	gapFile, err := os.Open(a.Gaps)
	if err != nil {
		return err
	}
	defer func() { _ = gapFile.Close() }()
	lossFile, err := os.Open(a.Losses)
	if err != nil {
		return err
	}
	defer func() { _ = lossFile.Close() }()
	gaps, err := probe.ReadGaps(gapFile)
	if err != nil {
		return err
	}
	losses, err := probe.ReadLosses(lossFile)
	if err != nil {
		return err
	}
	return probe.WriteReport(os.Stdout, probe.Effects(losses, gaps))
}

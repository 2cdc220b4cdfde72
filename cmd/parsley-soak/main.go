// Command parsley-soak checks the ownership protocol (package cell) in long
// randomized simulations. It prints the steps, the faults by kind and the speed.
// If an invariant is violated, it prints the seed and a shrunk trace and exits
// with status 1.
package main

import (
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/parsleystack/parsleystack/cell/celltest"
)

const (
	workers        = 4
	shrinkRuns     = 400
	reportInterval = 10 * time.Second

	// gcPercent lets the heap grow well beyond the small live state of the
	// simulations, which reduces the cost of garbage collection.
	gcPercent = 800
)

type options struct {
	Seed     int64  `arg:"--seed" default:"1" help:"seed of the first simulation"`
	Steps    int64  `arg:"--steps" default:"1000000" help:"total steps of the state machines over all simulations"`
	CellSize int    `arg:"--cell-size" help:"instances per cell, up to 12 [default: varies]"`
	Profile  string `arg:"--profile" help:"single, chaos, log, churn or corner [default: varies]"`
	Rule     string `arg:"--fault" help:"name of a protocol rule to break, to verify that the checks detect it"`
	Replay   string `arg:"--replay" help:"run the schedule of a trace file instead"`
}

func main() {
	var opts options
	arg.MustParse(&opts)
	debug.SetGCPercent(gcPercent)
	if err := run(&opts, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(opts *options, out io.Writer) error {
	if opts.Replay != "" {
		return replay(opts.Replay, out)
	}
	soak := celltest.Soak{
		Options: celltest.CellOptions(),
		Seed:    opts.Seed,
		Steps:   opts.Steps,
		Size:    opts.CellSize,
		Profile: celltest.Profile(opts.Profile),
		Rule:    opts.Rule,
		Workers: workers,
	}
	rep := newReporter(out, opts.Steps)
	soak.Progress = rep.progress
	stats, failure := soak.Run()
	rep.print(stats)
	if failure == nil {
		return nil
	}
	return reportFailure(&soak, failure, out)
}

// reportFailure shrinks a failing schedule and prints its trace.
func reportFailure(soak *celltest.Soak, f *celltest.Failure, out io.Writer) error {
	fmt.Fprintf(out, "seed %d: %v\nshrinking\n", f.Schedule.Seed, f.Violation)
	small, found := celltest.Shrink(soak.Options, f.Schedule, f.Violation, shrinkRuns)
	fmt.Fprintf(out, "# %v\n", found)
	if err := celltest.WriteTrace(out, small); err != nil {
		return err
	}
	return found
}

func replay(path string, out io.Writer) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	s, err := celltest.ReadTrace(file)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	r := celltest.Run(celltest.CellOptions(), s)
	fmt.Fprintf(out, "%d steps, %v of virtual time\n", r.Steps, r.VirtualTime)
	if r.Violation != nil {
		return r.Violation
	}
	return nil
}

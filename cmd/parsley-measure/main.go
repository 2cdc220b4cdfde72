// Command parsley-measure writes raw measurements of the components as CSV, one
// file for each quantity; parsley-capacity computes the capacity page from them.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/parsleystack/parsleystack/measure"
	"github.com/parsleystack/parsleystack/measure/cost"
)

type args struct {
	Out    string     `arg:"--out,required" help:"directory of the CSV files"`
	Commit string     `arg:"--commit,required" help:"measured commit"`
	Log    *logArgs   `arg:"subcommand:log" help:"cost of calls of the log service"`
	Watch  *watchArgs `arg:"subcommand:watch" help:"CPU time and memory of running processes, added to their series as one size"`
	Parts  *struct{}  `arg:"subcommand:parts" help:"cost of cells, configuration, routes and frames, in this process"`
}

type logArgs struct {
	Addr string `arg:"--addr,required" help:"address of a log service without an append cap and with an empty log"`
}

type watchArgs struct {
	Processes []string      `arg:"--process,separate,required" help:"process as label=pid; its series are LABEL-cpu and LABEL-memory-bytes"`
	Size      float64       `arg:"--size,required" help:"size that the processes run at"`
	By        string        `arg:"--by,required" help:"quantity that the size counts"`
	Duration  time.Duration `arg:"--duration" default:"20s" help:"time to watch"`
}

func main() {
	var a args
	parser := arg.MustParse(&a)
	if parser.Subcommand() == nil {
		parser.Fail("no subcommand is given; use log, watch or parts")
	}
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "parsley-measure:", err)
		os.Exit(1)
	}
}

func run(a args) error {
	facts := measure.ReadFacts(a.Commit, os.Args)
	if a.Watch != nil {
		return watch(a.Out, a.Watch, facts)
	}
	if a.Log != nil {
		return writeAll(a.Out, func() ([]*measure.Series, error) { return cost.Log(a.Log.Addr, facts) })
	}
	for _, part := range []func(measure.Facts) ([]*measure.Series, error){cost.Cell, cost.Config, cost.Routes, cost.Transport} {
		if err := writeAll(a.Out, func() ([]*measure.Series, error) { return part(facts) }); err != nil {
			return err
		}
	}
	return nil
}

func writeAll(dir string, measureSeries func() ([]*measure.Series, error)) error {
	series, err := measureSeries()
	if err != nil {
		return err
	}
	for _, s := range series {
		if err := write(s, dir); err != nil {
			return err
		}
	}
	return nil
}

func write(s *measure.Series, dir string) error {
	line, err := s.Fit()
	if err != nil {
		return err
	}
	fmt.Printf("%s: %.4g %s + %.4g %s a unit of size, residual %.3g %s\n", s.Name, line.Intercept, s.Unit, line.Slope, s.Unit, line.Residual, s.Unit)
	return s.WriteFile(dir)
}

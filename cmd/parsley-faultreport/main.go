// Command parsley-faultreport writes the report of a failure run on one
// deployment as text and as an SVG plot, and checks drains and changes of
// configuration. Its exit code is 1 if a guarantee was violated.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/parsleystack/parsleystack/faultreport"
)

type args struct {
	Dir        string        `arg:"--dir,required" help:"directory of the run"`
	Deployment string        `arg:"--deployment,required"`
	Probed     string        `arg:"--probed,required" help:"service whose keys the probes requested"`
	Length     time.Duration `arg:"--length,required" help:"length of the load"`
	Plot       string        `arg:"--plot" help:"file to write the plot to"`
}

func main() {
	var a args
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "parsley-faultreport:", err)
		os.Exit(1)
	}
}

func run(a args) error {
	in, err := faultreport.Read(a.Dir, a.Deployment, a.Length)
	if err != nil {
		return err
	}
	report := faultreport.New(in, a.Probed)
	if err := report.WriteText(os.Stdout); err != nil {
		return err
	}
	if a.Plot != "" {
		if err := plot(report, a.Plot); err != nil {
			return err
		}
	}
	if n := len(report.Violations); n > 0 {
		return fmt.Errorf("%d guarantees were violated; see the report", n)
	}
	return nil
}

func plot(report *faultreport.Report, path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := report.WriteSVG(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

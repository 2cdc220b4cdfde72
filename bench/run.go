package bench

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"
)

// pollInterval is the time between reads of the targets' records.
const pollInterval = time.Second

// ViolationsError reports that the verification found violations.
type ViolationsError struct{ Violations []Violation }

func (e *ViolationsError) Error() string {
	return fmt.Sprintf("bench: verification found %d violations; look up the request ids of the report in the logs of the daemons", len(e.Violations))
}

// Run runs the load that args describe, writes the text report to out and
// verifies the outcomes. It returns a *ViolationsError if there are violations.
func Run(ctx context.Context, args Args, out io.Writer) error {
	configs, err := args.configs()
	if err != nil {
		return err
	}
	processes, err := args.processes()
	if err != nil {
		return err
	}
	collector := NewCollector(splitAll(args.Targets))
	stop := pollInBackground(collector)
	results, err := Execute(ctx, configs, args.Rounds, processes)
	stop()
	if err != nil {
		return err
	}
	if err := writeReports(args, out, results); err != nil {
		return err
	}
	return verifyResults(args, out, results, collector)
}

// pollInBackground polls the targets' records until stop is called.
func pollInBackground(c *Collector) (stop func()) {
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				_ = c.Poll() // Finish reports a target that stays unreachable
			case <-quit:
				return
			}
		}
	}()
	return func() {
		close(quit)
		<-done
	}
}

func writeReports(args Args, out io.Writer, results []*Result) error {
	if err := WriteText(out, results); err != nil {
		return err
	}
	if err := writeFile(args.CSV, results, WriteCSV); err != nil {
		return err
	}
	return writeFile(args.TimelineCSV, results, WriteTimelineCSV)
}

func writeFile(name string, results []*Result, write func(io.Writer, []*Result) error) error {
	if name == "" {
		return nil
	}
	f, err := os.Create(name)
	if err != nil {
		return fmt.Errorf("bench: report: %w", err)
	}
	if err := write(f, results); err != nil {
		_ = f.Close()
		return fmt.Errorf("bench: report %s: %w", name, err)
	}
	return f.Close()
}

// verifyResults reads the remaining records of the targets, verifies the results
// and writes the violations to out.
func verifyResults(args Args, out io.Writer, results []*Result, collector *Collector) error {
	if err := collector.Finish(); err != nil {
		fmt.Fprintln(out, "run records are incomplete:", err)
	}
	runs, complete := collector.Runs()
	fileRuns, err := ReadRunFiles(splitAll(args.RunFiles))
	if err != nil {
		return err
	}
	runs = append(runs, fileRuns...)
	sources := len(splitAll(args.Targets)) + len(splitAll(args.RunFiles))
	complete = complete && sources > 0
	violations := responseViolations(results)
	for _, r := range results {
		violations = append(violations, verifyOutcomes(r.Outcomes, runsByID(runs), complete && r.Name != directName)...)
	}
	violations = append(violations, verifyRuns(runs, args.Divided)...)
	fmt.Fprintf(out, "verification: %d run records of %d targets (complete: %t), %d violations\n", len(runs), sources, complete, len(violations))
	for _, v := range violations {
		fmt.Fprintln(out, "  "+v.String())
	}
	if len(violations) > 0 {
		return &ViolationsError{Violations: violations}
	}
	return nil
}

func responseViolations(results []*Result) []Violation {
	var violations []Violation
	for _, r := range results {
		if r.UnmatchedResponses > 0 {
			violations = append(violations, Violation{Kind: UnmatchedResponse, ID: r.Name, Detail: fmt.Sprintf("%d responses", r.UnmatchedResponses)})
		}
		if r.MalformedResponses > 0 {
			violations = append(violations, Violation{Kind: MalformedResponse, ID: r.Name, Detail: fmt.Sprintf("%d responses", r.MalformedResponses)})
		}
	}
	return violations
}

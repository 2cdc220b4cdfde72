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

// BrokenPromisesError reports that the judge found violations.
type BrokenPromisesError struct{ Violations []Violation }

func (e *BrokenPromisesError) Error() string {
	return fmt.Sprintf("bench: %d promises were broken; the report names each, look up its request id in the logs of the daemons", len(e.Violations))
}

// Run runs the load that args ask for, writes the text report to out, and
// judges the outcome. It returns a *BrokenPromisesError if a promise was
// broken.
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
	return judgeRun(args, out, results, collector)
}

// pollInBackground polls until the returned function is called.
func pollInBackground(c *Collector) (stop func()) {
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				_ = c.Poll() // Finish reports a target that stays away
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

// judgeRun reads the last records and writes the verdict.
func judgeRun(args Args, out io.Writer, results []*Result, collector *Collector) error {
	if err := collector.Finish(); err != nil {
		fmt.Fprintln(out, "records are not complete:", err)
	}
	runs, complete := collector.Runs()
	journals, err := ReadJournals(splitAll(args.Journals))
	if err != nil {
		return err
	}
	runs = append(runs, journals...)
	sources := len(splitAll(args.Targets)) + len(splitAll(args.Journals))
	complete = complete && sources > 0
	violations := answerViolations(results)
	for _, r := range results {
		violations = append(violations, judgeFates(r.Fates, runsByID(runs), complete && r.Name != directName)...)
	}
	violations = append(violations, judgeRuns(runs, args.Divided)...)
	fmt.Fprintf(out, "judge: %d records of %d targets (complete: %t), %d violations\n", len(runs), sources, complete, len(violations))
	for _, v := range violations {
		fmt.Fprintln(out, "  "+v.String())
	}
	if len(violations) > 0 {
		return &BrokenPromisesError{Violations: violations}
	}
	return nil
}

func answerViolations(results []*Result) []Violation {
	var violations []Violation
	for _, r := range results {
		if r.Wrong > 0 {
			violations = append(violations, Violation{Kind: WrongAnswer, ID: r.Name, Detail: fmt.Sprintf("%d answers", r.Wrong)})
		}
		if r.Torn > 0 {
			violations = append(violations, Violation{Kind: TornAnswer, ID: r.Name, Detail: fmt.Sprintf("%d answers", r.Torn)})
		}
	}
	return violations
}

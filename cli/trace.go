package cli

import (
	"fmt"
	"os"

	"github.com/parsleystack/parsleystack/logtrace"
)

// traceOutput is what trace --json prints.
type traceOutput struct {
	Request []logtrace.Line `json:"request"`
	Context []logtrace.Line `json:"context"`
	Cause   string          `json:"cause"`
}

func (c *runner) trace(a *TraceArgs) (int, error) {
	var lines []logtrace.Line
	for _, path := range a.Files {
		read, err := readLog(path)
		if err != nil {
			return ExitUsage, err
		}
		lines = append(lines, read...)
	}
	t := logtrace.Find(lines, a.ID)
	if c.args.JSON {
		c.printJSON(traceOutput{Request: t.Request, Context: t.Context, Cause: t.Cause()})
	} else {
		c.printTrace(&t)
	}
	if len(t.Request) == 0 {
		return ExitFailure, nil
	}
	return ExitOK, nil
}

func readLog(path string) ([]logtrace.Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("trace: %w; name files with the daemons' log lines", err)
	}
	defer func() { _ = f.Close() }() // only read
	return logtrace.Read(f)
}

func (c *runner) printTrace(t *logtrace.Trace) {
	for i := range t.Request {
		fmt.Fprintln(c.env.Out, t.Request[i].String())
	}
	fmt.Fprintln(c.env.Out, "cause:", t.Cause())
	if len(t.Context) > 0 {
		fmt.Fprintln(c.env.Out, "meanwhile:")
	}
	for i := range t.Context {
		fmt.Fprintln(c.env.Out, t.Context[i].String())
	}
}

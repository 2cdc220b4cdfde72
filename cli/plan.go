package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/parsleystack/parsleystack/config"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
	"github.com/parsleystack/parsleystack/yamlfile"
)

// settlePoll is the time between reads while a change is unsettled.
const settlePoll = 100 * time.Millisecond

func (c *call) openLog(addr string) (platformlog.Log, error) {
	if addr == "" {
		return nil, errors.New("no log service is named; name it with --log IP:PORT or PARSLEY_LOG")
	}
	return c.env.OpenLog(addr), nil
}

// collect reads the service files; with none named, only retirements remain.
func collect(paths, retire []string) ([]config.Candidate, error) {
	if len(paths) == 0 && len(retire) == 0 {
		return nil, errors.New("no service file is named; name files or directories, or services with --retire")
	}
	if len(paths) == 0 {
		return nil, nil
	}
	return config.Collect(paths...)
}

// codeOf returns the exit code of an error.
func codeOf(err error) int {
	var faults yamlfile.Errors
	if errors.As(err, &faults) {
		return ExitBadFiles
	}
	return ExitFailure
}

func (c *call) plan(ctx context.Context, a *PlanArgs) (int, error) {
	candidates, err := collect(a.Paths, a.Retire)
	if err != nil {
		return codeOf(err), err
	}
	log, err := c.openLog(a.Log)
	if err != nil {
		return ExitUsage, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.args.Timeout)
	defer cancel()
	p := &config.Publisher{Log: log}
	plan, err := p.Plan(ctx, candidates, services(a.Retire))
	if err != nil {
		return ExitFailure, err
	}
	if a.Out != "" {
		if err := writePlan(a.Out, plan); err != nil {
			return ExitFailure, err
		}
	}
	c.printPlan(plan)
	return ExitOK, nil
}

func services(names []string) []ident.Service {
	list := make([]ident.Service, len(names))
	for i, n := range names {
		list[i] = ident.Service(n)
	}
	return list
}

func writePlan(path string, plan *config.Plan) error {
	data, err := json.MarshalIndent(plan, "", "  ")
	if err != nil {
		return fmt.Errorf("the plan can't be encoded: %w", err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("the plan can't be kept: %w; name a writable file with --out", err)
	}
	return nil
}

func readPlan(path string) (*config.Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("the plan can't be read: %w; make one with parsley plan --out", err)
	}
	plan := new(config.Plan)
	if err := json.Unmarshal(data, plan); err != nil {
		return nil, fmt.Errorf("%s is not a plan: %w; make one with parsley plan --out", path, err)
	}
	return plan, nil
}

func (c *call) printPlan(plan *config.Plan) {
	if c.args.JSON {
		c.printJSON(plan)
		return
	}
	c.printf("Plan against offset %d: %d of %d services change\n", plan.Offset, plan.Changes(), len(plan.Steps))
	for i := range plan.Steps {
		c.printStep(&plan.Steps[i])
	}
}

func (c *call) printStep(s *config.PlanStep) {
	c.printf("%-9s %s (version %d)\n", s.Action, s.Service, s.ExpectedVersion)
	for _, d := range s.Differences {
		switch {
		case d.Old == "":
			c.printf("    + %s: %s\n", d.Field, d.New)
		case d.New == "":
			c.printf("    - %s: %s\n", d.Field, d.Old)
		default:
			c.printf("    ~ %s: %s -> %s\n", d.Field, d.Old, d.New)
		}
	}
	for _, w := range s.Warnings {
		c.printf("    ! %s\n", w)
	}
}

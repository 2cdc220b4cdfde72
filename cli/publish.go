package cli

import (
	"context"
	"errors"

	"github.com/parsleystack/parsleystack/config"
)

// publishOutput is what publish --json prints.
type publishOutput struct {
	Plan     *config.Plan    `json:"plan,omitempty"`
	Results  []config.Result `json:"results"`
	ExitCode int             `json:"exit_code"`
}

func (c *call) publish(ctx context.Context, a *PublishArgs) (int, error) {
	if a.Operator == "" {
		return ExitUsage, errors.New("no operator is named; name yourself with --operator or PARSLEY_OPERATOR")
	}
	candidates, err := c.publishCandidates(a)
	if err != nil {
		return codeOf(err), err
	}
	log, err := c.openLog(a.Log)
	if err != nil {
		return ExitUsage, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.args.Timeout+a.Settle)
	defer cancel()
	p := &config.Publisher{
		Log:            log,
		Author:         a.Operator,
		Nonce:          c.env.Nonce,
		OutcomeTimeout: a.Settle,
		PollInterval:   settlePoll,
	}
	if a.Reset {
		return c.reset(ctx, p, candidates)
	}
	plan, err := c.planToPublish(ctx, p, a, candidates)
	if err != nil {
		return codeOf(err), err
	}
	results, err := p.Publish(ctx, plan)
	if err != nil {
		return ExitFailure, err
	}
	code := exitOf(results)
	c.printResults(&publishOutput{Plan: plan, Results: results, ExitCode: code})
	return code, nil
}

func (c *call) publishCandidates(a *PublishArgs) ([]config.Candidate, error) {
	if a.Plan != "" && len(a.Paths) == 0 {
		return nil, nil
	}
	return collect(a.Paths, a.Retire)
}

// planToPublish makes a plan, or takes the one that was reviewed.
func (c *call) planToPublish(ctx context.Context, p *config.Publisher, a *PublishArgs, candidates []config.Candidate) (*config.Plan, error) {
	if a.Plan == "" {
		return p.Plan(ctx, candidates, services(a.Retire))
	}
	if len(a.Retire) > 0 {
		return nil, errors.New("--retire goes with parsley plan when a plan is published; make the plan with it")
	}
	plan, err := readPlan(a.Plan)
	if err != nil {
		return nil, err
	}
	return plan, plan.Bind(candidates)
}

func (c *call) reset(ctx context.Context, p *config.Publisher, candidates []config.Candidate) (int, error) {
	if err := p.Reset(ctx, candidates); err != nil {
		return ExitFailure, err
	}
	if c.args.JSON {
		c.printJSON(publishOutput{})
		return ExitOK, nil
	}
	c.printf("reset: %d services are the whole configuration\n", len(candidates))
	return ExitOK, nil
}

// exitOf returns the exit code of the worst result.
func exitOf(results []config.Result) int {
	code := ExitOK
	for i := range results {
		code = max(code, exitOfKind(results[i].Kind))
	}
	return code
}

func exitOfKind(k config.ResultKind) int {
	switch k {
	case config.ResultFailed:
		return ExitFailure
	case config.ResultConflict:
		return ExitLost
	case config.ResultIndeterminate:
		return ExitUnsettled
	}
	return ExitOK
}

func (c *call) printResults(out *publishOutput) {
	if c.args.JSON {
		c.printJSON(out)
		return
	}
	for i := range out.Results {
		r := &out.Results[i]
		switch {
		case r.Err != nil:
			c.printf("%-9s %s\n    %s\n", r.Kind, r.Service, plain(r.Err))
		case r.Kind == config.ResultAccepted:
			c.printf("%-9s %s (version %d)\n", r.Kind, r.Service, r.Version)
		default:
			c.printf("%-9s %s\n", r.Kind, r.Service)
		}
	}
}

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

func (c *runner) publish(ctx context.Context, a *PublishArgs) (int, error) {
	if a.Operator == "" {
		return ExitUsage, errors.New("no operator is given; set --operator or PARSLEY_OPERATOR")
	}
	candidates, err := c.publishCandidates(a)
	if err != nil {
		return exitCodeOf(err), err
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
		PollInterval:   settlePollInterval,
	}
	if a.Reset {
		return c.reset(ctx, p, candidates)
	}
	plan, err := c.planToPublish(ctx, p, a, candidates)
	if err != nil {
		return exitCodeOf(err), err
	}
	results, err := p.Publish(ctx, plan)
	if err != nil {
		return ExitFailure, err
	}
	code := worstExitCode(results)
	c.printResults(&publishOutput{Plan: plan, Results: results, ExitCode: code})
	return code, nil
}

func (c *runner) publishCandidates(a *PublishArgs) ([]config.Candidate, error) {
	if a.Plan != "" && len(a.Paths) == 0 {
		return nil, nil
	}
	return collectCandidates(a.Paths, a.Retire)
}

// planToPublish makes a plan, or reads the one named with --plan.
func (c *runner) planToPublish(ctx context.Context, p *config.Publisher, a *PublishArgs, candidates []config.Candidate) (*config.Plan, error) {
	if a.Plan == "" {
		return p.Plan(ctx, candidates, services(a.Retire))
	}
	if len(a.Retire) > 0 {
		return nil, errors.New("--retire can't be combined with --plan; pass it to parsley plan when the plan is made")
	}
	plan, err := readPlan(a.Plan)
	if err != nil {
		return nil, err
	}
	return plan, plan.Bind(candidates)
}

func (c *runner) reset(ctx context.Context, p *config.Publisher, candidates []config.Candidate) (int, error) {
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

// worstExitCode returns the highest exit code of the results.
func worstExitCode(results []config.Result) int {
	code := ExitOK
	for i := range results {
		code = max(code, exitCodeOfKind(results[i].Kind))
	}
	return code
}

func exitCodeOfKind(k config.ResultKind) int {
	switch k {
	case config.ResultFailed:
		return ExitFailure
	case config.ResultConflict:
		return ExitConflict
	case config.ResultIndeterminate:
		return ExitIndeterminate
	}
	return ExitOK
}

func (c *runner) printResults(out *publishOutput) {
	if c.args.JSON {
		c.printJSON(out)
		return
	}
	for i := range out.Results {
		r := &out.Results[i]
		switch {
		case r.Err != nil:
			c.printf("%-9s %s\n    %s\n", r.Kind, r.Service, trimPackage(r.Err))
		case r.Kind == config.ResultAccepted:
			c.printf("%-9s %s (version %d)\n", r.Kind, r.Service, r.Version)
		default:
			c.printf("%-9s %s\n", r.Kind, r.Service)
		}
	}
}

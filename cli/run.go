package cli

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/alexflint/go-arg"

	"github.com/parsleystack/parsleystack/bench"
)

// Run parses argv, the arguments without the program's name, executes the
// command and returns its exit code.
func Run(ctx context.Context, env *Env, argv []string) int {
	args := &Args{command: findSubcommand(argv)}
	parser, err := arg.NewParser(arg.Config{Program: "parsley", Out: env.Err}, args)
	if err != nil {
		fmt.Fprintln(env.Err, "parsley:", err)
		return ExitFailure
	}
	switch err := parser.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(env.Out, parser.SubcommandNames()...)
		return ExitOK
	case err != nil:
		_ = parser.WriteUsageForSubcommand(env.Err, parser.SubcommandNames()...)
		fmt.Fprintln(env.Err, "parsley:", err)
		return ExitUsage
	case parser.Subcommand() == nil:
		parser.WriteHelp(env.Err)
		return ExitUsage
	}
	return dispatch(ctx, env, args)
}

// findSubcommand returns the first subcommand in argv, or "".
func findSubcommand(argv []string) string {
	for _, a := range argv {
		if _, ok := examples[a]; ok {
			return a
		}
	}
	return ""
}

func dispatch(ctx context.Context, env *Env, args *Args) int {
	c := &runner{env: env, args: args}
	switch {
	case args.Check != nil:
		return c.finish(c.check(args.Check))
	case args.Plan != nil:
		return c.finish(c.plan(ctx, args.Plan))
	case args.Publish != nil:
		return c.finish(c.publish(ctx, args.Publish))
	case args.Status != nil:
		return c.finish(c.status(ctx, args.Status))
	case args.Explain != nil:
		return c.finish(c.explain(ctx, args.Explain))
	case args.Audit != nil:
		return c.finish(c.audit(ctx, args.Audit))
	case args.Drain != nil:
		return c.finish(c.drain(ctx, args.Drain))
	case args.Release != nil:
		return c.finish(c.release(ctx, args.Release))
	case args.Trace != nil:
		return c.finish(c.trace(args.Trace))
	case args.Bench != nil:
		return c.finish(ExitOK, bench.Run(ctx, *args.Bench, env.Out))
	}
	return c.finish(c.confirmLoss(ctx, args.ConfirmLoss))
}

// runner is one execution of a command.
type runner struct {
	env  *Env
	args *Args
}

// finish prints the error, if there is one, and returns the exit code.
func (c *runner) finish(code int, err error) int {
	if err == nil {
		return code
	}
	if code == ExitOK {
		code = ExitFailure
	}
	if c.args.JSON {
		c.printJSON(failure{Error: err.Error(), ExitCode: code})
		return code
	}
	fmt.Fprintln(c.env.Err, "parsley:", trimPackage(err))
	return code
}

// trimPackage returns the text of the error without the prefix of package config.
func trimPackage(err error) string { return strings.TrimPrefix(err.Error(), "config: ") }

// failure is what --json prints for an error.
type failure struct {
	Error    string `json:"error"`
	ExitCode int    `json:"exit_code"`
}

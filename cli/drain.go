package cli

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/admin"
)

// drainPoll is the time between looks at a planned stop.
const drainPoll = 200 * time.Millisecond

func (c *call) drain(ctx context.Context, a *DrainArgs) (int, error) {
	if a.Operator == "" && a.Cert == "" {
		return ExitUsage, errors.New("no operator is named; name yourself with --operator or PARSLEY_OPERATOR")
	}
	clients, err := a.clients()
	if err != nil {
		return ExitUsage, err
	}
	callCtx, cancel := context.WithTimeout(ctx, c.args.Timeout)
	defer cancel()
	client, err := c.findInstance(callCtx, clients, a.Instance)
	if err != nil {
		return ExitFailure, err
	}
	answer, err := client.Drain(callCtx, &admin.DrainRequest{Operator: a.Operator, Reason: a.Reason})
	if err != nil {
		return ExitFailure, err
	}
	if a.Wait {
		if err := c.waitDrained(ctx, client); err != nil {
			return ExitFailure, err
		}
	}
	c.printDrain(answer, a.Wait)
	return ExitOK, nil
}

// findInstance returns the client of the daemon that runs on the instance.
func (c *call) findInstance(ctx context.Context, clients []daemonClient, instance string) (*daemonClient, error) {
	answers, errs := statuses(ctx, clients, c.args.Timeout/2) // the rest is for the order
	var names []string
	var last error
	for i, st := range answers {
		if errs[i] != nil {
			last = errs[i]
			continue
		}
		if string(st.Instance) == instance {
			return &clients[i], nil
		}
		names = append(names, string(st.Instance))
	}
	if len(names) == 0 {
		return nil, fmt.Errorf("no daemon answers: %w", last)
	}
	return nil, fmt.Errorf("no daemon that answers runs on instance %q (answers from %v); check the name with parsley status, or name its own admin address with --admin; if it is gone for good, see parsley confirm-loss", instance, names)
}

// waitDrained waits until the daemon has left or no longer answers.
func (c *call) waitDrained(ctx context.Context, client *daemonClient) error {
	timer := time.NewTicker(drainPoll)
	defer timer.Stop()
	for {
		st, err := client.Status(ctx)
		var unreachable *admin.UnreachableError
		switch {
		case errors.As(err, &unreachable):
			return nil
		case err != nil:
			return err
		case !st.Draining:
			return errors.New("the planned stop has ended without the daemon leaving; see its log")
		}
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (c *call) printDrain(answer *admin.DrainAnswer, waited bool) {
	switch {
	case c.args.JSON:
		c.printJSON(answer)
	case waited:
		c.printf("%s has left\n", answer.Instance)
	case answer.Already:
		c.printf("the planned stop of %s had begun before; follow it with parsley status\n", answer.Instance)
	default:
		c.printf("the planned stop of %s has begun; follow it with parsley status\n", answer.Instance)
	}
}

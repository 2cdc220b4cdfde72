package cli

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/parsleystack/parsleystack/admin"
)

// drainPollInterval is the time between status calls during a planned stop.
const drainPollInterval = 200 * time.Millisecond

func (c *runner) drain(ctx context.Context, a *DrainArgs) (int, error) {
	if a.Operator == "" && a.Cert == "" {
		return ExitUsage, errors.New("no operator is given; set --operator or PARSLEY_OPERATOR")
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

// findInstance returns the client of the daemon on the instance.
func (c *runner) findInstance(ctx context.Context, clients []daemonClient, instance string) (*daemonClient, error) {
	statuses, errs := fetchStatuses(ctx, clients, c.args.Timeout/2) // the rest is for the command
	var names []string
	var last error
	for i, st := range statuses {
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
	return nil, fmt.Errorf("no daemon that answers runs on instance %q (answers from %v); check the name with parsley status, or name its own admin address with --admin; if it has failed permanently, see parsley confirm-loss", instance, names)
}

// waitDrained waits until the daemon no longer answers. It returns an error if
// the daemon answers but is not draining.
func (c *runner) waitDrained(ctx context.Context, client *daemonClient) error {
	timer := time.NewTicker(drainPollInterval)
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
			return errors.New("the daemon is no longer draining but still answers; check its log")
		}
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (c *runner) printDrain(answer *admin.DrainResponse, waited bool) {
	switch {
	case c.args.JSON:
		c.printJSON(answer)
	case waited:
		c.printf("%s is drained and has stopped\n", answer.Instance)
	case answer.Already:
		c.printf("the planned stop of %s was already in progress; follow it with parsley status\n", answer.Instance)
	default:
		c.printf("the planned stop of %s has begun; follow it with parsley status\n", answer.Instance)
	}
}

package cli

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/parsleystack/parsleystack/admin"
)

// statusOutput is what status --json prints.
type statusOutput struct {
	Daemons     []*admin.Status     `json:"daemons"`
	Unreachable []unreachableDaemon `json:"unreachable"`
	Findings    []string            `json:"findings"` // problems that an operator should check
}

type unreachableDaemon struct {
	Addr  string `json:"address"`
	Error string `json:"error"`
}

// maxConcurrentCalls limits the concurrent calls to daemons.
const maxConcurrentCalls = 16

func (c *runner) status(ctx context.Context, a *StatusArgs) (int, error) {
	clients, err := a.clients()
	if err != nil {
		return ExitUsage, err
	}
	out := c.collectStatus(ctx, clients)
	if len(out.Daemons) == 0 {
		return ExitFailure, errors.New("no daemon answers: " + out.Unreachable[0].Error)
	}
	out.filter(a.Service)
	out.Findings = findings(out)
	c.printStatus(out, a.Ranges)
	if len(out.Findings) > 0 {
		return ExitDegraded, nil
	}
	return ExitOK, nil
}

// fetchStatuses calls all daemons concurrently, so that one that does not answer
// does not delay the others. Statuses and errors are in the order of clients.
func fetchStatuses(ctx context.Context, clients []daemonClient, timeout time.Duration) ([]*admin.Status, []error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	statuses := make([]*admin.Status, len(clients))
	errs := make([]error, len(clients))
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	for i, client := range clients {
		g.Go(func() error {
			statuses[i], errs[i] = client.Status(ctx)
			return nil
		})
	}
	_ = g.Wait()
	return statuses, errs
}

// collectStatus returns the statuses and errors of all daemons in the order of
// clients.
func (c *runner) collectStatus(ctx context.Context, clients []daemonClient) *statusOutput {
	statuses, errs := fetchStatuses(ctx, clients, c.args.Timeout)
	out := &statusOutput{Daemons: []*admin.Status{}, Unreachable: []unreachableDaemon{}, Findings: []string{}}
	for i, err := range errs {
		if err != nil {
			out.Unreachable = append(out.Unreachable, unreachableDaemon{Addr: clients[i].addr, Error: err.Error()})
			continue
		}
		out.Daemons = append(out.Daemons, statuses[i])
	}
	return out
}

func (o *statusOutput) filter(service string) {
	if service == "" {
		return
	}
	kept := o.Daemons[:0]
	for _, d := range o.Daemons {
		if string(d.Service) == service {
			kept = append(kept, d)
		}
	}
	o.Daemons = kept
}

// firstResponse calls the daemons in sequence until one answers. A refusal counts
// as a response.
func firstResponse[T any](ctx context.Context, clients []daemonClient, call func(context.Context, daemonClient) (T, error)) (T, error) {
	var zero T
	var last error
	for _, client := range clients {
		out, err := call(ctx, client)
		var unreachable *admin.UnreachableError
		if !errors.As(err, &unreachable) {
			return out, err
		}
		last = err
	}
	return zero, last
}

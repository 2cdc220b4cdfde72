package cli

import (
	"context"
	"errors"
	"fmt"

	"github.com/parsleystack/parsleystack/admin"
)

func (c *runner) release(ctx context.Context, a *ReleaseArgs) (int, error) {
	if a.Operator == "" && a.Cert == "" {
		return ExitUsage, errors.New("no operator is given; set --operator or PARSLEY_OPERATOR")
	}
	clients, err := a.clients()
	if err != nil {
		return ExitUsage, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.args.Timeout)
	defer cancel()
	answer, err := c.sendRelease(ctx, clients, a)
	if err != nil {
		return ExitFailure, err
	}
	if c.args.JSON {
		c.printJSON(answer)
		return ExitOK, nil
	}
	c.printf("requests with the fingerprint %s are sent to targets of %s again\n", answer.Fingerprint, a.Service)
	return ExitOK, nil
}

// sendRelease sends the command to a daemon of the service.
func (c *runner) sendRelease(ctx context.Context, clients []daemonClient, a *ReleaseArgs) (*admin.ReleaseResponse, error) {
	statuses, errs := fetchStatuses(ctx, clients, c.args.Timeout/2) // the rest is for the command
	for i, st := range statuses {
		if errs[i] == nil && string(st.Service) == a.Service {
			return clients[i].Release(ctx, &admin.ReleaseRequest{Operator: a.Operator, Reason: a.Reason, Fingerprint: a.Fingerprint})
		}
	}
	return nil, fmt.Errorf("no daemon of service %s answers; name one with --admin, or all with --daemons", a.Service)
}

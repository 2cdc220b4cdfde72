package cli

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/parsleystack/parsleystack/admin"
	"github.com/parsleystack/parsleystack/ident"
)

func (c *runner) confirmLoss(ctx context.Context, a *ConfirmLossArgs) (int, error) {
	if a.Operator == "" && a.Cert == "" {
		return ExitUsage, errors.New("no operator is given; set --operator or PARSLEY_OPERATOR")
	}
	node, err := parseNode(a.Node)
	if err != nil {
		return ExitUsage, err
	}
	clients, err := a.clients()
	if err != nil {
		return ExitUsage, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.args.Timeout)
	defer cancel()
	answer, err := c.sendConfirmLoss(ctx, clients, a, node)
	if err != nil {
		return ExitFailure, err
	}
	if c.args.JSON {
		c.printJSON(answer)
		return ExitOK, nil
	}
	c.printf("the loss of %s is confirmed; its ranges are granted to other members once its leases have expired\n", answer.Node)
	return ExitOK, nil
}

// sendConfirmLoss sends the confirmation to a daemon of the service other than
// the lost one. It fails if the process still answers, because its ranges would
// be granted to others while it may serve them.
func (c *runner) sendConfirmLoss(ctx context.Context, clients []daemonClient, a *ConfirmLossArgs, node ident.Node) (*admin.ConfirmLossResponse, error) {
	statuses, errs := fetchStatuses(ctx, clients, c.args.Timeout/2) // the rest is for the command
	var peer *daemonClient
	for i, st := range statuses {
		if errs[i] != nil {
			continue
		}
		if st.Instance == node.Instance && st.Incarnation == node.Incarnation {
			return nil, fmt.Errorf("%v answers at %s, so it is not lost; use parsley drain %s instead", node, clients[i].addr, node.Instance)
		}
		if string(st.Service) == a.Service && st.Instance != node.Instance {
			peer = &clients[i]
		}
	}
	if peer == nil {
		return nil, fmt.Errorf("no daemon of service %s answers; name one with --admin, or all with --daemons", a.Service)
	}
	return peer.ConfirmLoss(ctx, &admin.ConfirmLossRequest{
		Operator:    a.Operator,
		Reason:      a.Reason,
		Service:     ident.Service(a.Service),
		Instance:    node.Instance,
		Incarnation: node.Incarnation,
	})
}

// parseNode parses instance#incarnation.
func parseNode(text string) (ident.Node, error) {
	instance, number, found := strings.Cut(text, "#")
	incarnation, err := strconv.ParseUint(number, 10, 64)
	if !found || instance == "" || err != nil {
		return ident.Node{}, fmt.Errorf("%q does not name a process; write INSTANCE#INCARNATION as shown by parsley status", text)
	}
	return ident.Node{Instance: ident.Instance(instance), Incarnation: ident.Incarnation(incarnation)}, nil
}

package cli

import (
	"context"
	"time"

	"github.com/parsleystack/parsleystack/admin"
	"github.com/parsleystack/parsleystack/audit"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

func (c *runner) explain(ctx context.Context, a *ExplainArgs) (int, error) {
	clients, err := a.clients()
	if err != nil {
		return ExitUsage, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.args.Timeout)
	defer cancel()
	ex, err := firstResponse(ctx, clients, func(ctx context.Context, d daemonClient) (*admin.Explanation, error) {
		return d.Explain(ctx, ident.Service(a.Service), a.Key)
	})
	if err != nil {
		return ExitFailure, err
	}
	if a.Log != "" && ex.Cell != "" && ex.Previous == nil {
		if err := c.addHistory(ctx, a, ex); err != nil {
			return ExitFailure, err
		}
	}
	c.printExplanation(ex)
	if ex.Divided && ex.Owner == "" {
		return ExitDegraded, nil
	}
	return ExitOK, nil
}

// addHistory adds the time since which the owner has the key, and the previous
// owners, from the cell's stream.
func (c *runner) addHistory(ctx context.Context, a *ExplainArgs, ex *admin.Explanation) error {
	svc := ident.Service(a.Service)
	entries, err := audit.ReadCell(ctx, c.env.OpenLog(a.Log), svc, platformlog.Stream(ex.Cell))
	if err != nil {
		return err
	}
	f := &audit.Filter{
		Service: svc,
		Key:     a.Key,
		Kinds:   []audit.Kind{audit.Granted, audit.Revoked, audit.Split, audit.Merged},
	}
	history := ownersOf(entries, f)
	if n := len(history); n > 0 && history[n-1].Token == ex.Token {
		ex.Since = history[n-1].Until
		ex.Why = history[n-1].Why
		history = history[:n-1]
	}
	for i := len(history) - 1; i >= 0; i-- {
		ex.Previous = append(ex.Previous, history[i])
	}
	return nil
}

// ownersOf returns the owners in the entries, oldest first. Until of each is the
// time of the next owner's grant; for the last one, which has no next, it is the
// time of its own grant.
func ownersOf(entries []audit.Entry, f *audit.Filter) []admin.PreviousOwner {
	var owners []admin.PreviousOwner
	for i := range entries {
		e := &entries[i]
		if !f.Match(e) || e.Kind == audit.Revoked {
			continue
		}
		if n := len(owners); n > 0 && owners[n-1].Token == e.Token {
			continue
		}
		owners = append(owners, admin.PreviousOwner{Owner: e.Node, Token: e.Token, Until: e.Time, Why: e.Reason})
	}
	for i := 0; i+1 < len(owners); i++ {
		owners[i].Until = owners[i+1].Until
	}
	return owners
}

func (c *runner) printExplanation(ex *admin.Explanation) {
	if c.args.JSON {
		c.printJSON(ex)
		return
	}
	c.printf("Key %q of %s (configuration version %d)\n", ex.Key, ex.Service, ex.Version)
	if !ex.Divided {
		c.printf("  The service is not divided by key; any ready target accepts the request.\n")
		return
	}
	c.printf("  position  %s\n", ex.Point)
	c.printf("  range     %s\n", orNone(ex.Range))
	c.printf("  cell      %s\n", ex.Cell)
	c.printf("  owner     %s %s\n", orNone(ex.Owner), ex.Addr)
	c.printf("  token     %s\n", orNone(ex.Token))
	if !ex.Since.IsZero() {
		c.printf("  since     %s\n", ex.Since.UTC().Format(time.RFC3339))
	}
	c.printf("  why       %s\n", ex.Why)
	for _, p := range ex.Previous {
		c.printf("  before    %s token %s until %s: %s\n", p.Owner, p.Token, p.Until.UTC().Format(time.RFC3339), p.Why)
	}
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

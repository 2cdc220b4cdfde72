package cli

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/parsleystack/parsleystack/audit"
	"github.com/parsleystack/parsleystack/ident"
)

// auditOutput is what audit --json prints.
type auditOutput struct {
	Entries    []audit.Entry `json:"entries"`
	Incomplete []string      `json:"incomplete"` // reasons why entries are missing
}

func (c *runner) audit(ctx context.Context, a *AuditArgs) (int, error) {
	log, err := c.openLog(a.Log)
	if err != nil {
		return ExitUsage, err
	}
	filter, err := c.auditFilter(a)
	if err != nil {
		return ExitUsage, err
	}
	regions, err := a.regions()
	if err != nil {
		return exitCodeOf(err), err
	}
	ctx, cancel := context.WithTimeout(ctx, c.args.Timeout)
	defer cancel()
	trail, err := audit.Read(ctx, log, regions, filter)
	if err != nil {
		return ExitFailure, err
	}
	c.printTrail(trail)
	if len(trail.Incomplete) > 0 {
		return ExitDegraded, nil
	}
	return ExitOK, nil
}

func (c *runner) auditFilter(a *AuditArgs) (*audit.Filter, error) {
	if a.Key != "" && a.Service == "" {
		return nil, errors.New("--key needs --service, since equal keys of different services are different keys")
	}
	f := &audit.Filter{Service: ident.Service(a.Service), Key: a.Key}
	for _, k := range a.Kinds {
		f.Kinds = append(f.Kinds, audit.Kind(k))
	}
	var err error
	if f.Since, err = c.parseTime("--since", a.Since); err != nil {
		return nil, err
	}
	f.Until, err = c.parseTime("--until", a.Until)
	return f, err
}

// parseTime parses an RFC 3339 time or a duration before now. An empty text is
// the zero time.
func (c *runner) parseTime(option, text string) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if back, err := time.ParseDuration(text); err == nil {
		return c.env.Now().Add(-back), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, fmt.Errorf("%s %q is not a time; write one such as 2026-01-31T08:00:00Z, or a duration before now such as 2h", option, text)
	}
	return at, nil
}

func (a *AuditArgs) regions() ([]ident.Region, error) {
	var regions []ident.Region
	for _, r := range a.Regions {
		regions = append(regions, ident.Region(r))
	}
	if len(regions) > 0 || a.Dir == "" {
		return regions, nil
	}
	daemons, err := loadDaemons(a.Dir)
	if err != nil {
		return nil, err
	}
	for _, d := range daemons {
		if !slices.Contains(regions, d.Region) {
			regions = append(regions, d.Region)
		}
	}
	return regions, nil
}

func (c *runner) printTrail(trail *audit.Trail) {
	out := auditOutput{Entries: trail.Entries, Incomplete: []string{}}
	if out.Entries == nil {
		out.Entries = []audit.Entry{}
	}
	for _, err := range trail.Incomplete {
		out.Incomplete = append(out.Incomplete, err.Error())
	}
	if c.args.JSON {
		c.printJSON(out)
		return
	}
	t := c.table()
	fmt.Fprintln(t, "TIME\tKIND\tSERVICE\tNODE\tRANGE\tTOKEN\tAUTHOR\tREASON")
	for i := range out.Entries {
		e := &out.Entries[i]
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", e.Time.UTC().Format("2006-01-02T15:04:05.000Z"),
			e.Kind, orDash(string(e.Service)), orDash(e.Node), rangeText(e.Range), orDash(e.Token), orDash(e.Author), e.Reason)
	}
	_ = t.Flush()
	for _, text := range out.Incomplete {
		c.printf("incomplete: %s\n", text)
	}
}

func rangeText(r *audit.Range) string {
	if r == nil {
		return "-"
	}
	return r.Text
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

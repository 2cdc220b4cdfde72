package audit

import (
	"context"
	"errors"
	"slices"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/config"
	"github.com/parsleystack/parsleystack/ident"
	"github.com/parsleystack/parsleystack/platformlog"
)

// Trail is the result of Read.
type Trail struct {
	Entries []Entry // ordered by time
	// Incomplete holds the reasons why parts of the trail are missing; empty if
	// the trail is complete.
	Incomplete []error
}

// Read returns the entries that the filter selects, ordered by time: those of
// the configuration, of operator commands and of the cells of the services in
// the given regions. It returns an error only if the configuration stream can't
// be read; other failures are in Trail.Incomplete.
func Read(ctx context.Context, log platformlog.Log, regions []ident.Region, f *Filter) (*Trail, error) {
	t := new(Trail)
	entries, state, err := ReadConfig(ctx, log)
	var truncated *config.TruncatedError
	switch {
	case errors.As(err, &truncated):
		t.Incomplete = append(t.Incomplete, err)
	case err != nil:
		return nil, err
	}
	t.add(entries, f)
	t.readCommands(ctx, log, f)
	for _, svc := range servicesOf(state, f) {
		for _, region := range regions {
			t.readCell(ctx, log, svc, region, f)
		}
	}
	slices.SortStableFunc(t.Entries, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	return t, nil
}

func (t *Trail) readCommands(ctx context.Context, log platformlog.Log, f *Filter) {
	entries, err := ReadCommands(ctx, log)
	if err != nil {
		t.Incomplete = append(t.Incomplete, err)
	}
	t.add(entries, f)
}

func (t *Trail) readCell(ctx context.Context, log platformlog.Log, svc ident.Service, region ident.Region, f *Filter) {
	entries, err := ReadCell(ctx, log, svc, cell.StreamName(svc, region, 0))
	if err != nil {
		t.Incomplete = append(t.Incomplete, err)
	}
	t.add(entries, f)
}

func (t *Trail) add(entries []Entry, f *Filter) {
	for i := range entries {
		if f.Match(&entries[i]) {
			t.Entries = append(t.Entries, entries[i])
		}
	}
}

// servicesOf returns the services whose cells are read: the service of the
// filter, or all services that were ever published.
func servicesOf(state *config.State, f *Filter) []ident.Service {
	if f.Service != "" {
		return []ident.Service{f.Service}
	}
	if state == nil {
		return nil
	}
	return state.Services()
}

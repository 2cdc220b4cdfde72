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

// Trail is what Read has found.
type Trail struct {
	Entries []Entry
	// Incomplete says why parts are missing.
	Incomplete []error
}

// Read returns the entries that the filter chooses, of the configuration, of
// operators' orders and of the cells of all its services in the regions, by time. It fails only if
// the log can't be read at all.
func Read(ctx context.Context, log platformlog.Log, regions []ident.Region, f *Filter) (*Trail, error) {
	t := new(Trail)
	entries, state, err := ReadConfig(ctx, log)
	var gap *config.TruncatedError
	switch {
	case errors.As(err, &gap):
		t.Incomplete = append(t.Incomplete, err)
	case err != nil:
		return nil, err
	}
	t.add(entries, f)
	t.readOrders(ctx, log, f)
	for _, svc := range servicesOf(state, f) {
		for _, region := range regions {
			t.readCell(ctx, log, svc, region, f)
		}
	}
	slices.SortStableFunc(t.Entries, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	return t, nil
}

func (t *Trail) readOrders(ctx context.Context, log platformlog.Log, f *Filter) {
	entries, err := ReadOrders(ctx, log)
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

// servicesOf returns the services whose cells are read: the one that the
// filter names, or all that were ever published.
func servicesOf(state *config.State, f *Filter) []ident.Service {
	if f.Service != "" {
		return []ident.Service{f.Service}
	}
	if state == nil {
		return nil
	}
	return state.Services()
}

package daemon

import (
	"context"
	"time"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/keyspace"
)

const (
	// loadInterval is the time between load reports to the cell's leader.
	loadInterval = 10 * time.Second
	// minLoadRequests is the number of requests below which a measurement is too
	// small to be meaningful and is continued.
	minLoadRequests = 200
)

// reportLoad reports the load of the held ranges to the cell.
func (d *Daemon) reportLoad(ctx context.Context) error {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	since := clock.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		m := d.member.Load()
		if m == nil || d.load.Count() < minLoadRequests {
			continue
		}
		now := clock.Now()
		changes := d.loadReporter.Changes(d.load.Measure(d.heldRanges(), now.Sub(since)))
		since = now
		if len(changes) == 0 {
			continue
		}
		if err := m.Post(ctx, cell.Load{Ranges: changes}); err != nil {
			return nil
		}
	}
}

// heldRanges returns the ranges held locally, sorted by range.
func (d *Daemon) heldRanges() []keyspace.Range {
	holdings := d.leases.Holdings()
	ranges := make([]keyspace.Range, len(holdings))
	for i := range holdings {
		ranges[i] = holdings[i].Grant.Range
	}
	return ranges
}

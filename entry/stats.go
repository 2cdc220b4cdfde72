package entry

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/outcomestat"
)

// Stats counts the outcomes of callers' requests.
type Stats struct {
	outcomestat.Counts
	held            atomic.Uint64
	refreshes       atomic.Uint64
	failedRefreshes atomic.Uint64
}

// Held returns the number of times that a request was put in the hold queue.
func (s *Stats) Held() uint64 { return s.held.Load() }

func (s *Stats) refused(r outcome.Reason) {
	s.Add(outcome.Result{Kind: outcome.NotRun, Reason: r})
}

// Register adds the gateway's metrics to set.
func (g *Gateway) Register(set *metrics.Set) {
	g.stats.Counts.Register(set, "parsley_entry_requests_total")
	outcomestat.Register(set, "parsley_entry_held_total", g.stats.held.Load)
	outcomestat.Register(set, "parsley_entry_refreshes_total", g.stats.refreshes.Load)
	outcomestat.Register(set, "parsley_entry_failed_refreshes_total", g.stats.failedRefreshes.Load)
}

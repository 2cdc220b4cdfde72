package owner

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/parsleystack/parsleystack/outcomestat"
)

// Stats counts the outcomes of requests.
type Stats struct {
	outcomestat.Counts
	replays atomic.Uint64
}

// Replays returns the number of repeats that got a stored response.
func (s *Stats) Replays() uint64 { return s.replays.Load() }

// Register adds the owner's metrics to set.
func (o *Owner) Register(set *metrics.Set) {
	o.stats.Counts.Register(set, "parsley_owner_requests_total")
	outcomestat.Register(set, "parsley_owner_replays_total", o.stats.replays.Load)
	set.NewGauge("parsley_owner_requests_in_flight", func() float64 { return float64(o.InFlight()) })
	set.NewGauge("parsley_owner_limit", func() float64 {
		_, limit := o.gate.load()
		return float64(limit)
	})
	set.NewGauge("parsley_owner_remembered_bytes", func() float64 {
		_, bytes := o.records.size()
		return float64(bytes)
	})
}

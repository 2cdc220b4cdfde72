package owner

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/wire"
)

const reasonCount = int(outcome.Duplicate) + 1

// Stats count the outcomes of requests.
type Stats struct {
	done    atomic.Uint64
	notRun  [reasonCount]atomic.Uint64 // by outcome.Reason
	unknown [reasonCount]atomic.Uint64 // by outcome.Reason
	replays atomic.Uint64
}

// Done returns the number of requests with a whole answer.
func (s *Stats) Done() uint64 { return s.done.Load() }

// NotRun returns the number of requests refused for a reason.
func (s *Stats) NotRun(r outcome.Reason) uint64 { return s.notRun[r].Load() }

// Unknown returns the number of requests of unknown outcome for a reason.
func (s *Stats) Unknown(r outcome.Reason) uint64 { return s.unknown[r].Load() }

// Replays returns the number of repeats answered from memory.
func (s *Stats) Replays() uint64 { return s.replays.Load() }

func (s *Stats) count(resp *wire.Response) {
	switch resp.Kind {
	case outcome.Done:
		s.done.Add(1)
	case outcome.NotRun:
		s.notRun[resp.Reason].Add(1)
	case outcome.Unknown:
		s.unknown[resp.Reason].Add(1)
	}
}

// Register publishes the owner's counters.
func (o *Owner) Register(set *metrics.Set) {
	gauge(set, `parsley_owner_requests_total{outcome="done"}`, o.stats.done.Load)
	gauge(set, `parsley_owner_replays_total`, o.stats.replays.Load)
	for i := range reasonCount {
		reason := outcome.Reason(i).String()
		gauge(set, `parsley_owner_requests_total{outcome="not-run",reason="`+reason+`"}`, o.stats.notRun[i].Load)
		gauge(set, `parsley_owner_requests_total{outcome="unknown",reason="`+reason+`"}`, o.stats.unknown[i].Load)
	}
	set.NewGauge("parsley_owner_requests_in_flight", func() float64 { return float64(o.InFlight()) })
	set.NewGauge("parsley_owner_limit", func() float64 {
		_, limit := o.gate.load()
		return float64(limit)
	})
	set.NewGauge("parsley_owner_remembered_bytes", func() float64 {
		_, bytes := o.memory.size()
		return float64(bytes)
	})
}

func gauge(set *metrics.Set, name string, load func() uint64) {
	set.NewGauge(name, func() float64 { return float64(load()) })
}

package entry

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/parsleystack/parsleystack/outcome"
)

const reasonCount = int(outcome.Duplicate) + 1

// Stats count the outcomes of callers' requests.
type Stats struct {
	done            atomic.Uint64
	notRun          [reasonCount]atomic.Uint64 // by outcome.Reason
	unknown         [reasonCount]atomic.Uint64 // by outcome.Reason
	held            atomic.Uint64
	refreshes       atomic.Uint64
	failedRefreshes atomic.Uint64
}

// Done returns the number of requests with a whole answer.
func (s *Stats) Done() uint64 { return s.done.Load() }

// NotRun returns the number of requests refused for a reason.
func (s *Stats) NotRun(r outcome.Reason) uint64 { return s.notRun[r].Load() }

// Unknown returns the number of requests of unknown outcome for a reason.
func (s *Stats) Unknown(r outcome.Reason) uint64 { return s.unknown[r].Load() }

// Held returns the number of times that a request waited for a new owner.
func (s *Stats) Held() uint64 { return s.held.Load() }

func (s *Stats) refused(r outcome.Reason) { s.notRun[r].Add(1) }

func (s *Stats) count(r outcome.Result) {
	switch r.Kind {
	case outcome.Done:
		s.done.Add(1)
	case outcome.NotRun:
		s.notRun[r.Reason].Add(1)
	case outcome.Unknown:
		s.unknown[r.Reason].Add(1)
	}
}

// Register publishes the gateway's counters.
func (g *Gateway) Register(set *metrics.Set) {
	s := &g.stats
	gauge(set, `parsley_entry_requests_total{outcome="done"}`, s.done.Load)
	gauge(set, "parsley_entry_held_total", s.held.Load)
	gauge(set, "parsley_entry_refreshes_total", s.refreshes.Load)
	gauge(set, "parsley_entry_failed_refreshes_total", s.failedRefreshes.Load)
	for i := range reasonCount {
		reason := outcome.Reason(i).String()
		gauge(set, `parsley_entry_requests_total{outcome="not-run",reason="`+reason+`"}`, s.notRun[i].Load)
		gauge(set, `parsley_entry_requests_total{outcome="unknown",reason="`+reason+`"}`, s.unknown[i].Load)
	}
}

func gauge(set *metrics.Set, name string, load func() uint64) {
	set.NewGauge(name, func() float64 { return float64(load()) })
}

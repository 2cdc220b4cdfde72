// Package outcomestat counts requests by outcome and reason and exposes the
// counts as metrics.
package outcomestat

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/parsleystack/parsleystack/outcome"
)

// reasonCount is the number of known reasons. The arrays of Counts have one
// more element, which counts the reasons of newer versions.
const reasonCount = int(outcome.LastReason) + 1

// Counts counts requests by outcome and reason. The zero value is ready to use.
// All methods are safe for concurrent use.
type Counts struct {
	done    atomic.Uint64
	notRun  [reasonCount + 1]atomic.Uint64 // by outcome.Reason
	unknown [reasonCount + 1]atomic.Uint64 // by outcome.Reason
}

// Add counts a request. A kind of a newer version counts as unknown.
func (c *Counts) Add(r outcome.Result) {
	switch r.Kind {
	case outcome.Done:
		c.done.Add(1)
	case outcome.NotRun:
		c.notRun[index(r.Reason)].Add(1)
	default:
		c.unknown[index(r.Reason)].Add(1)
	}
}

// index returns the array index of a reason. Reasons that only newer versions
// define, which a peer may send, share the last index.
func index(r outcome.Reason) int { return min(int(r), reasonCount) }

// Done returns the number of requests with a complete response.
func (c *Counts) Done() uint64 { return c.done.Load() }

// NotRun returns the number of requests that were not run for a reason.
func (c *Counts) NotRun(r outcome.Reason) uint64 { return c.notRun[index(r)].Load() }

// Unknown returns the number of requests of unknown outcome for a reason.
func (c *Counts) Unknown(r outcome.Reason) uint64 { return c.unknown[index(r)].Load() }

// Register registers the counts in set under the metric name, with the labels
// outcome and reason.
func (c *Counts) Register(set *metrics.Set, name string) {
	Register(set, name+`{outcome="done"}`, c.done.Load)
	for i := range reasonCount + 1 {
		reason := `",reason="` + outcome.Reason(i).String() + `"}`
		Register(set, name+`{outcome="not-run`+reason, c.notRun[i].Load)
		Register(set, name+`{outcome="unknown`+reason, c.unknown[i].Load)
	}
}

// Register registers a gauge in set whose value is the result of load.
func Register(set *metrics.Set, name string, load func() uint64) {
	set.NewGauge(name, func() float64 { return float64(load()) })
}

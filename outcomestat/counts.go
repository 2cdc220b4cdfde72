// Package outcomestat counts requests by outcome and reason and publishes the
// counts as metrics.
package outcomestat

import (
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/parsleystack/parsleystack/outcome"
)

// reasonCount is the number of known reasons; one more place counts reasons of
// newer versions.
const reasonCount = int(outcome.Duplicate) + 1

// Counts counts requests. The zero value is ready for use; all methods may be
// called by any goroutine.
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

// index returns the place of a reason, which may come from a peer of a newer
// version.
func index(r outcome.Reason) int { return min(int(r), reasonCount) }

// Done returns the number of requests with a whole answer.
func (c *Counts) Done() uint64 { return c.done.Load() }

// NotRun returns the number of requests refused for a reason.
func (c *Counts) NotRun(r outcome.Reason) uint64 { return c.notRun[index(r)].Load() }

// Unknown returns the number of requests of unknown outcome for a reason.
func (c *Counts) Unknown(r outcome.Reason) uint64 { return c.unknown[index(r)].Load() }

// Register publishes the counts under the name with the labels outcome and
// reason.
func (c *Counts) Register(set *metrics.Set, name string) {
	Register(set, name+`{outcome="done"}`, c.done.Load)
	for i := range reasonCount + 1 {
		reason := `",reason="` + outcome.Reason(i).String() + `"}`
		Register(set, name+`{outcome="not-run`+reason, c.notRun[i].Load)
		Register(set, name+`{outcome="unknown`+reason, c.unknown[i].Load)
	}
}

// Register publishes a count that load returns.
func Register(set *metrics.Set, name string, load func() uint64) {
	set.NewGauge(name, func() float64 { return float64(load()) })
}

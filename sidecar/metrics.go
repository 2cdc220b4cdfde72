package sidecar

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// metricSet is what the daemon counts.
type metricSet struct {
	set       *metrics.Set
	storeTime *metrics.Histogram
}

func newMetricSet() *metricSet {
	set := metrics.NewSet()
	return &metricSet{set: set, storeTime: set.NewHistogram("parsley_store_call_duration_seconds")}
}

func (m *metricSet) storeCall(result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("parsley_store_calls_total{result=%q}", result)).Inc()
}

func (m *metricSet) storeTook(d time.Duration) { m.storeTime.Update(max(d, 0).Seconds()) }

func (m *metricSet) request(route, outcome, reason string, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("parsley_requests_total{route=%q,outcome=%q,reason=%q}", route, outcome, reason)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("parsley_request_duration_seconds{route=%q,outcome=%q}", route, outcome)).Update(took.Seconds())
}

func (m *metricSet) count(name string) { m.set.GetOrCreateCounter(name).Inc() }

func (m *metricSet) gauge(name string, f func() float64) { m.set.NewGauge(name, f) }

func (m *metricSet) write(w io.Writer) { m.set.WritePrometheus(w) }

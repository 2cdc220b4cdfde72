package sidecar

import (
	"context"
	"fmt"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/parsleystack/parsleystack/callerhttp"
	"github.com/parsleystack/parsleystack/logevent"
)

// connReportInterval is the time between two reports of callers' connections that were refused
// or closed for others.
const connReportInterval = time.Second

// reportCallerConns logs how many connections of callers were refused or closed for others,
// until ctx ends.
func (d *Daemon) reportCallerConns(ctx context.Context) error {
	ticker := time.NewTicker(connReportInterval)
	defer ticker.Stop()
	server := d.ingress.server
	last := server.ConnStats()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := server.ConnStats()
		if now.Refused != last.Refused || now.Closed != last.Closed {
			host, conns := server.LargestCaller(hostOf)
			fields := []zap.Field{
				zap.Uint64("refused", now.Refused-last.Refused), zap.Int("open", now.Open), zap.Int("limit", server.MaxConns()),
				zap.String("caller", host), zap.Int("caller_open", conns),
			}
			for i, name := range callerhttp.ConnActivities() {
				if n := now.Closed[i] - last.Closed[i]; n > 0 {
					fields = append(fields, zap.Uint64("closed_"+name, n))
				}
			}
			logevent.Log(d.log, logevent.CallerConnsExhausted, fields...)
		}
		last = now
	}
}

// hostOf returns the host of an address.
func hostOf(addr net.Addr) string {
	host, _, err := net.SplitHostPort(addr.String())
	if err != nil {
		return addr.String()
	}
	return host
}

// registerCallerConns registers metrics of the connections of callers.
func (m *metricSet) registerCallerConns(s *callerhttp.Server) {
	m.set.NewGauge("parsley_caller_connections", func() float64 { return float64(s.GetOpenConnectionsCount()) })
	m.set.NewGauge("parsley_caller_connections_limit", func() float64 { return float64(s.MaxConns()) })
	m.set.NewGauge("parsley_caller_connections_refused_total", func() float64 { return float64(s.ConnStats().Refused) })
	for i, name := range callerhttp.ConnActivities() {
		m.set.NewGauge(fmt.Sprintf("parsley_caller_connections_closed_total{activity=%q}", name), func() float64 { return float64(s.ConnStats().Closed[i]) })
	}
}

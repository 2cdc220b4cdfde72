package daemon

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/transport"
)

// pathMetrics is where the admin listener serves metrics.
const pathMetrics = "/metrics"

// metrics of the daemon as a whole; the parts register their own.
type daemonMetrics struct {
	set     *metrics.Set
	granted *metrics.Counter
	revoked *metrics.Counter
	lost    *metrics.Counter
}

func newMetrics(d *Daemon) *daemonMetrics {
	set := metrics.NewSet()
	m := &daemonMetrics{
		set:     set,
		granted: set.NewCounter("parsley_cell_ranges_granted_total"),
		revoked: set.NewCounter("parsley_cell_ranges_revoked_total"),
		lost:    set.NewCounter("parsley_cell_members_lost_total"),
	}
	set.NewGauge("parsley_cell_held_ranges", func() float64 { return float64(len(d.leases.Holdings())) })
	set.NewGauge("parsley_config_offset", func() float64 { return float64(d.follower.InForce().Offset) })
	set.NewGauge("parsley_cell_term", func() float64 {
		if member := d.member.Load(); member != nil {
			return float64(member.View().Term)
		}
		return 0
	})
	set.NewGauge("parsley_cell_provisional_assignments", func() float64 {
		if member := d.member.Load(); member != nil {
			return float64(member.View().Provisional)
		}
		return 0
	})
	set.NewGauge("parsley_cell_dropped_messages_total", func() float64 {
		if member := d.member.Load(); member != nil {
			return float64(member.Dropped())
		}
		return 0
	})
	d.gateway.Register(set)
	d.owner.Register(set)
	d.pool.Counters().Register(set, "parsley_pool")
	d.server.Counters().Register(set, "parsley_server")
	transport.RegisterSegments(set, "parsley_pool", d.pool.Segments)
	transport.RegisterSegments(set, "parsley_server", d.server.Segments)
	return m
}

// audited counts an entry of the audit trail.
func (m *daemonMetrics) audited(kind cell.AuditKind) {
	switch kind {
	case cell.AuditGranted:
		m.granted.Inc()
	case cell.AuditRevoked:
		m.revoked.Inc()
	case cell.AuditLost:
		m.lost.Inc()
	}
}

// serveAdmin answers operators and the collector of metrics.
func (d *Daemon) serveAdmin(ctx *fasthttp.RequestCtx) {
	if d.admin.Serve(ctx) {
		return
	}
	if string(ctx.Path()) != pathMetrics {
		ctx.Error("no such page; see /v1/status and /metrics", fasthttp.StatusNotFound)
		return
	}
	ctx.SetContentType("text/plain; version=0.0.4")
	d.metrics.set.WritePrometheus(ctx)
	metrics.WriteProcessMetrics(ctx)
}

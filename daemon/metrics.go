package daemon

import (
	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"

	"github.com/parsleystack/parsleystack/cell"
	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/transport"
)

// pathMetrics is the path of the metrics on the admin listener.
const pathMetrics = "/metrics"

// daemonMetrics holds the metrics of the daemon as a whole; its components
// register their own in the same set.
type daemonMetrics struct {
	set     *metrics.Set
	granted *metrics.Counter
	revoked *metrics.Counter
	lost    *metrics.Counter

	moved       *metrics.Counter
	unowned     *metrics.FloatCounter
	unavailable *metrics.FloatCounter
	ranges      *metrics.Gauge
	keys        *metrics.Gauge

	// Accessed only by the goroutine of the cell driver.
	churn       churn
	unownedTime unowned
}

func newMetrics(d *Daemon) *daemonMetrics {
	set := metrics.NewSet()
	m := &daemonMetrics{
		set:     set,
		granted: set.NewCounter("parsley_cell_ranges_granted_total"),
		revoked: set.NewCounter("parsley_cell_ranges_revoked_total"),
		lost:    set.NewCounter("parsley_cell_members_lost_total"),

		moved:       set.NewCounter("parsley_cell_ranges_moved_total"),
		unowned:     set.NewFloatCounter("parsley_cell_unowned_range_seconds_total"),
		unavailable: set.NewFloatCounter("parsley_entry_unavailable_seconds_total"),
		ranges:      set.NewGauge("parsley_cell_range_imbalance_ratio", nil),
		keys:        set.NewGauge("parsley_cell_key_imbalance_ratio", nil),
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

// audited counts an audit entry of the given kind.
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

// changed updates the metrics from the newest view of the cell. Only the leader
// counts, so that the sum over the members of a cell counts each change once.
func (m *daemonMetrics) changed(v *cell.View, now clock.Time) {
	leads := !v.Leader.IsZero() && v.Self == v.Leader
	m.unowned.Add(m.unownedTime.step(v, now).Seconds())
	var current imbalance
	if leads {
		current = imbalanceOf(v.Members, v.Assignments)
	}
	m.ranges.Set(current.ranges)
	m.keys.Set(current.keys)
	if !leads && v.Self != v.Deputy {
		m.churn = churn{}
		return
	}
	moved := m.churn.step(v.Assignments)
	if leads {
		m.moved.Add(moved)
	}
}

// serveAdmin serves the operators' interface and the metrics.
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

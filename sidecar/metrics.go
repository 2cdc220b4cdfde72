package sidecar

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/parsleystack/parsleystack/clock"
	"github.com/parsleystack/parsleystack/hedge"
	"github.com/parsleystack/parsleystack/metastore"
	"github.com/parsleystack/parsleystack/outcome"
	"github.com/parsleystack/parsleystack/recvlimit"
)

// metricSet is the set of metrics of the daemon.
type metricSet struct {
	set       *metrics.Set
	storeTime *metrics.Histogram
	// unreadTime is how long the last bytes of requests had arrived before they were read.
	unreadTime *metrics.Histogram
	// behindTime is how long requests that were read behind others of their connection waited
	// until they were begun, and turnTime how long responses waited for those in front of them.
	behindTime, turnTime *metrics.Histogram
	// uploadWait is how long responses without a length waited until the target had taken the request.
	uploadWait *metrics.Histogram
	// callerCheckDelay is by how much checks for callers that have left were late.
	callerCheckDelay *metrics.Histogram
}

func newMetricSet() *metricSet {
	set := metrics.NewSet()
	return &metricSet{
		set: set, storeTime: set.NewHistogram("parsley_store_call_duration_seconds"),
		behindTime: set.NewHistogram("parsley_request_behind_seconds"), turnTime: set.NewHistogram("parsley_response_turn_seconds"),
		uploadWait: set.NewHistogram("parsley_target_upload_wait_seconds"),
		unreadTime: set.NewHistogram("parsley_request_unread_seconds"), callerCheckDelay: set.NewHistogram("parsley_caller_check_delay_seconds"),
	}
}

func (m *metricSet) countStoreCall(result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("parsley_store_calls_total{result=%q}", result)).Inc()
}

// countOversize counts a message that was not received completely because of its size.
func (m *metricSet) countOversize(source recvlimit.Source) {
	m.set.GetOrCreateCounter(fmt.Sprintf("parsley_messages_too_large_total{source=%q}", string(source))).Inc()
}

func (m *metricSet) observeStoreCall(d time.Duration) { m.storeTime.Update(max(d, 0).Seconds()) }

func (m *metricSet) observeRequest(route, outcome, reason string, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf("parsley_requests_total{route=%q,outcome=%q,reason=%q}", route, outcome, reason)).Inc()
	m.set.GetOrCreateHistogram(fmt.Sprintf("parsley_request_duration_seconds{route=%q,outcome=%q}", route, outcome)).Update(took.Seconds())
}

// countCallerLeft counts a request whose caller has left before its response.
func (m *metricSet) countCallerLeft(sent bool) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`parsley_callers_left_total{sent="%t"}`, sent)).Inc()
}

// countVerdict counts an answer of a target's daemon to a request that its entry had canceled,
// or that there was none.
func (m *metricSet) countVerdict(verdict string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("parsley_canceled_requests_total{verdict=%q}", verdict)).Inc()
}

// countHedgeRefused counts a request that got no second copy after its delay.
func (m *metricSet) countHedgeRefused(r hedge.Refusal) {
	m.set.GetOrCreateCounter(fmt.Sprintf("parsley_hedges_total{result=%q}", "refused_"+r.String())).Inc()
}

// countRejection counts a response with a 4xx status of the daemon's own.
func (m *metricSet) countRejection(status int, reason outcome.Reason) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`parsley_requests_rejected_total{status="%d",reason=%q}`, status, reason)).Inc()
}

// countHealthCheck counts a health check of the target.
func (m *metricSet) countHealthCheck(result string) {
	m.set.GetOrCreateCounter(fmt.Sprintf("parsley_target_health_checks_total{result=%q}", result)).Inc()
}

// countRows counts routes and services of a configuration that could not be decoded.
func (m *metricSet) countRows(n int) {
	m.set.GetOrCreateCounter("parsley_configuration_rows_rejected_total").Add(n)
}

func (m *metricSet) count(name string) { m.set.GetOrCreateCounter(name).Inc() }

// Counters without labels.
const (
	metricResent       = "parsley_requests_resent_total"
	metricBudgetDenied = "parsley_resend_budget_denied_total"
	// metricHedges are second copies that were sent, and what became of them: they were
	// answered first, were canceled since the first one was, or ended without a response.
	metricHedgeSent     = `parsley_hedges_total{result="sent"}`
	metricHedgeWon      = `parsley_hedges_total{result="won"}`
	metricHedgeCanceled = `parsley_hedges_total{result="canceled"}`
	metricHedgeFailed   = `parsley_hedges_total{result="failed"}`
	metricTargetFailed  = "parsley_target_failures_total"
	// metricRunCalls counts calls that runs at the local target have made.
	metricRunCalls = "parsley_run_calls_total"
	// metricStatusUnusable counts responses of the target whose status can't be used.
	metricStatusUnusable = "parsley_target_statuses_unusable_total"
	// metricResponseMalformed counts responses of the target with another line that HTTP excludes.
	metricResponseMalformed = "parsley_target_responses_malformed_total"
	// metricTargetCrashes counts crashes of the target while requests were in progress.
	metricTargetCrashes = "parsley_target_crashes_total"
	// metricAcceptErrors counts connections that could not be accepted.
	metricAcceptErrors = "parsley_accept_errors_total"
	// metricCanceledUnsent counts requests for the target that were canceled before they were
	// sent to it, and metricCanceledSent those after.
	metricCanceledUnsent = `parsley_target_requests_canceled_total{sent="false"}`
	metricCanceledSent   = `parsley_target_requests_canceled_total{sent="true"}`
	metricNoGrants       = "parsley_heartbeats_without_grants_total"
	// metricTargetRequests counts attempts to send a request to the target.
	metricTargetRequests = "parsley_target_requests_total"
	// metricRateRefused counts requests that were refused because of the target's rate limit.
	metricRateRefused = "parsley_target_rate_refused_total"
	// metricColdHeld counts requests that have waited for the target to be warm, and
	// metricColdRefused those that were refused because it is cold.
	metricColdHeld    = "parsley_target_cold_held_total"
	metricColdRefused = "parsley_target_cold_refused_total"
	// metricEvacuatedRefused counts requests that were refused because the zone of the target is
	// evacuated.
	metricEvacuatedRefused = "parsley_target_evacuated_refused_total"
	// metricSlowRefused counts requests that were refused because the target is slow by its
	// own statement, while others can run them.
	metricSlowRefused = "parsley_target_slow_refused_total"
	// metricStatementsIgnored counts responses of the target in which a statement about
	// itself can't be read.
	metricStatementsIgnored = "parsley_target_statements_ignored_total"
	// metricConfigRejected counts configurations of which nothing could be decoded.
	metricConfigRejected = "parsley_configurations_rejected_total"
	// metricUnknownKinds counts routes of configurations whose kind is not known.
	metricUnknownKinds = "parsley_configuration_kinds_unknown_total"
	metricLinesDropped = "parsley_log_lines_dropped_total"
)

// registerGauges registers gauges that read the state of the daemon.
func (m *metricSet) registerGauges(d *Daemon) {
	gauge := func(name string, f func() float64) { m.set.NewGauge(name, f) }
	gauge("parsley_configuration_version", func() float64 {
		if v := d.control.view.Load(); v.routes != nil {
			return float64(v.routes.Version())
		}
		return 0
	})
	gauge("parsley_configuration_newest_known", func() float64 { return float64(d.control.config.newest.Load()) })
	gauge("parsley_configuration_age_seconds", func() float64 { return d.control.configurationAge(clock.Now()).Seconds() })
	gauge("parsley_zones_evacuated", func() float64 { return float64(d.control.evacuatedCount.Load()) })
	gauge("parsley_daemons", func() float64 { return float64(d.control.view.Load().daemons) })
	gauge("parsley_callers_in_flight", func() float64 { return float64(d.ingress.inFlight()) })
	m.registerCallerConns(d.ingress.server)
	gauge("parsley_target_running", func() float64 { running, _, _ := d.backend.requests(); return float64(running) })
	gauge("parsley_target_waiting", func() float64 { return float64(d.backend.load().Waiting) })
	gauge("parsley_target_limit", func() float64 { _, _, limit := d.backend.requests(); return float64(limit) })
	gauge("parsley_target_rate_limited", func() float64 {
		if d.backend.load().RateLimited {
			return 1
		}
		return 0
	})
	gauge("parsley_target_cold", func() float64 {
		if d.backend.coldTarget().Cold {
			return 1
		}
		return 0
	})
	gauge("parsley_target_cold_unknown", func() float64 {
		if d.backend.coldTarget().Unknown {
			return 1
		}
		return 0
	})
	gauge("parsley_target_stated_slowness", func() float64 {
		if f, ok := d.backend.statedLoad(); ok {
			return f.Slowness
		}
		return 1
	})
	gauge("parsley_target_stated_waiting", func() float64 { f, _ := d.backend.statedLoad(); return f.Waiting })
	gauge("parsley_target_rate_limit", func() float64 { return d.backend.load().RateLimit })
	gauge("parsley_target_offered_ratio", func() float64 { return d.backend.load().OfferedRatio })
	gauge("parsley_requests_quarantined", func() float64 { return float64(len(d.suspects.Load().Quarantined())) })
	gauge("parsley_requests_suspected", func() float64 { return float64(d.suspects.Load().Suspects()) })
	gauge("parsley_egress_backlog_seconds", func() float64 { return d.egress.Backlog().Seconds() })
	gauge("parsley_egress_transfers", func() float64 { return float64(d.egress.Transfers()) })
	m.registerMemory(d.memory)
	gauge("parsley_link_connections_refused_total", func() float64 { return float64(d.server.Counters().RefusedConns.Load()) })
	gauge("parsley_store_reached", func() float64 {
		if d.storeLink.reachable() {
			return 1
		}
		return 0
	})
	gauge("parsley_store_era", func() float64 {
		era, _ := d.store.Era()
		return float64(era)
	})
	gauge("parsley_directory_era", func() float64 {
		return float64(metastore.Offset(d.control.appliedShared.Load()).Era())
	})
}

func (m *metricSet) write(w io.Writer) { m.set.WritePrometheus(w) }

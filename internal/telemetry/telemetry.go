// Package telemetry serves the metrics of a gateway: counters of its decisions, histograms of the durations of requests
// and attempts, and gauges of its state.
//
// It owns the metrics and their names. Metrics is a gateway.DecisionLog that counts each call and passes it on to the
// next log. Gauges are read from a GaugeSource when the metrics are requested.
package telemetry

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"stiletrail/internal/clock"
	"stiletrail/internal/failure"
	"stiletrail/internal/forward"
	"stiletrail/internal/gateway"
	"stiletrail/internal/history"
	"stiletrail/internal/limit"
	"stiletrail/internal/membudget"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/quota"
	"stiletrail/internal/replica"
	"stiletrail/internal/sharedhealth"
	"stiletrail/internal/transport"
)

// latencyBuckets are the upper bounds of the buckets of all histograms, in seconds.
var latencyBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.2, 0.25, 0.35, 0.5, 0.75, 1, 2, 5, 15}

// maximumNeedLabel is the number of extra attempts from which on needs are counted under one label.
const maximumNeedLabel = 3

// GaugeSource is where the values of the gauges are read from when the metrics are requested.
type GaugeSource struct {
	Gateway *gateway.Gateway
	// BackEndConnections returns the number of open connections to back ends, BackEndConnectionsOpened the number opened
	// since the start.
	BackEndConnections       func() int64
	BackEndConnectionsOpened func() int64
	// LogLinesDropped returns the number of log lines dropped because the buffer of the log was full.
	LogLinesDropped func() uint64
	// MalformedLoads returns the number of answers of back ends whose load report could not be parsed.
	MalformedLoads func() int64
	// OversizedAnswers returns the number of answers of back ends that were larger than allowed.
	OversizedAnswers func() int64
	// BodyMemory is the budget for the bodies of requests and answers.
	BodyMemory *membudget.Budget
	// PeerFrames has the counters of the frames exchanged with other nodes. It is nil if the node has no peer address.
	PeerFrames *transport.Counters
}

// Metrics is a decision log that counts and measures what is logged and passes it on to another decision log.
type Metrics struct {
	gateway.DecisionLog
	set          *metrics.Set
	requestTime  *metrics.PrometheusHistogram
	attemptTimes map[forward.Purpose]*metrics.PrometheusHistogram
	queueTime    *metrics.PrometheusHistogram
	connectTime  *metrics.PrometheusHistogram
}

// New returns metrics that pass all calls on to a decision log.
func New(log gateway.DecisionLog) *Metrics {
	m := &Metrics{DecisionLog: log, set: metrics.NewSet(), attemptTimes: map[forward.Purpose]*metrics.PrometheusHistogram{}}
	m.requestTime = m.set.NewPrometheusHistogramExt("stiletrail_request_seconds", latencyBuckets)
	m.queueTime = m.set.NewPrometheusHistogramExt("stiletrail_queue_seconds", latencyBuckets)
	m.connectTime = m.set.NewPrometheusHistogramExt("stiletrail_connect_seconds", latencyBuckets)
	for _, purpose := range []forward.Purpose{forward.First, forward.Hedge, forward.Retry} {
		name := fmt.Sprintf(`stiletrail_attempt_seconds{purpose=%q}`, purpose)
		m.attemptTimes[purpose] = m.set.NewPrometheusHistogramExt(name, latencyBuckets)
	}
	return m
}

// count increments the counter with the given name and label.
func (m *Metrics) count(name, label, value string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`%s{%s=%q}`, name, label, value)).Inc()
}

// Request implements gateway.DecisionLog.
func (m *Metrics) Request(call *gateway.Call, result *gateway.Result) {
	m.requestTime.Update(result.Elapsed.Seconds())
	m.count("stiletrail_requests_total", "outcome", result.Outcome())
	if result.Reason != "" {
		m.count("stiletrail_request_ends_total", "reason", string(result.Reason))
	}
	if result.Quota != nil {
		m.count("stiletrail_quota_refusals_total", "limit", sideOfLimit(result.Quota))
	}
	if result.Prioritized {
		m.countRank(result)
	}
	m.set.GetOrCreateCounter("stiletrail_shards_missing_total").Add(result.MissingShards)
	for _, attempt := range result.Attempts {
		m.recordAttempt(attempt)
		m.recordExtraAttempt(result, attempt)
		if attempt.Purpose == forward.First {
			m.queueTime.Update((attempt.StartedAt - result.Arrived).Seconds())
		}
		if attempt.Outcome.Kind != forward.Answered && result.Denied != nil {
			if denied := result.Denied(attempt); denied != "" {
				m.count("stiletrail_extra_attempts_denied_total", "reason", string(denied))
			}
		}
	}
	m.DecisionLog.Request(call, result)
}

// sideOfLimit returns whether a tenant was refused below its limit or above it.
func sideOfLimit(decision *gateway.QuotaDecision) string {
	if decision.Below {
		return "below"
	}
	return "above"
}

// largestRankLabel is the largest rank number with a label of its own. Less urgent ranks are counted together.
const largestRankLabel = 7

// rankLabel returns the label of a rank.
func rankLabel(rank int) string {
	if rank > largestRankLabel {
		return "8+"
	}
	return strconv.Itoa(rank)
}

// countRank counts a request by its rank and by whether it was served, turned away on arrival or not served for another
// reason.
func (m *Metrics) countRank(result *gateway.Result) {
	end := "served"
	switch {
	case result.CallerGone:
		end = "caller_gone"
	case result.Reason == forward.TurnedAway:
		end = "turned_away"
	case result.Failure != nil:
		end = "not_served"
	}
	rank := rankLabel(result.Rank)
	m.set.GetOrCreateCounter(fmt.Sprintf(`stiletrail_rank_requests_total{rank=%q,end=%q}`, rank, end)).Inc()
	if result.Waited > 0 {
		m.set.GetOrCreateCounter(fmt.Sprintf(`stiletrail_rank_waits_total{rank=%q}`, rank)).Inc()
		m.set.GetOrCreateFloatCounter(fmt.Sprintf(`stiletrail_rank_wait_seconds_total{rank=%q}`, rank)).Add(result.Waited.Seconds())
	}
}

func (m *Metrics) recordAttempt(attempt *forward.Attempt) {
	m.count("stiletrail_attempts_total", "purpose", string(attempt.Purpose))
	m.count("stiletrail_attempt_ends_total", "outcome", attempt.Outcome.Kind.String())
	if attempt.Outcome.Kind == forward.Answered {
		m.attemptTimes[attempt.Purpose].Update((attempt.EndedAt - attempt.StartedAt).Seconds())
	}
}

// recordExtraAttempt counts an extra attempt, or one that was denied for lack of budget, by what its request needed.
func (m *Metrics) recordExtraAttempt(result *gateway.Result, attempt *forward.Attempt) {
	if attempt.Purpose != forward.First {
		m.count("stiletrail_extra_attempts_granted_total", "need", needLabel(attempt.Need))
		if result.Failure != nil {
			m.set.GetOrCreateCounter("stiletrail_extra_attempts_wasted_total").Inc()
		}
	}
	if result.NeedAtDenial == nil || attempt.Outcome.Kind == forward.Answered {
		return
	}
	if need, denied := result.NeedAtDenial(attempt); denied {
		m.count("stiletrail_extra_attempts_lacking_total", "need", needLabel(need))
	}
}

// needLabel returns the label of a number of extra attempts that a request needed.
func needLabel(need limit.Need) string {
	if need.Extras >= maximumNeedLabel {
		return fmt.Sprint(maximumNeedLabel, "+")
	}
	return fmt.Sprint(need.Extras)
}

// RecordConnectTime records how long it took to open a connection to a back end.
func (m *Metrics) RecordConnectTime(elapsed time.Duration) { m.connectTime.Update(elapsed.Seconds()) }

// BackEndEjected implements gateway.DecisionLog.
func (m *Metrics) BackEndEjected(attempt *forward.Attempt, outcome forward.Outcome) {
	m.count("stiletrail_ejections_total", "outcome", outcome.Kind.String())
	m.DecisionLog.BackEndEjected(attempt, outcome)
}

// BackEndCrashed implements gateway.DecisionLog.
func (m *Metrics) BackEndCrashed(call *gateway.Call, attempt *forward.Attempt, after clock.Ms) {
	m.set.GetOrCreateCounter("stiletrail_attempts_whose_back_end_ended_total").Inc()
	m.DecisionLog.BackEndCrashed(call, attempt, after)
}

// BackEndJudged implements gateway.DecisionLog.
func (m *Metrics) BackEndJudged(entry replica.Entry, change sharedhealth.Change) {
	m.count("stiletrail_back_ends_judged_total", "verdict", change.Verdict.String())
	m.DecisionLog.BackEndJudged(entry, change)
}

// VerdictChanged implements gateway.DecisionLog.
func (m *Metrics) VerdictChanged(fingerprint quarantine.Fingerprint, verdict quarantine.Verdict, source string, remaining clock.Ms) {
	m.count("stiletrail_verdicts_total", "verdict", verdict.String())
	m.DecisionLog.VerdictChanged(fingerprint, verdict, source, remaining)
}

// QuarantineNotWritten implements gateway.DecisionLog.
func (m *Metrics) QuarantineNotWritten(fingerprint quarantine.Fingerprint, cause *failure.Failure) {
	m.set.GetOrCreateCounter("stiletrail_quarantines_not_written_total").Inc()
	m.DecisionLog.QuarantineNotWritten(fingerprint, cause)
}

// ItemRejected implements gateway.DecisionLog.
func (m *Metrics) ItemRejected(item *gateway.Item) {
	m.set.GetOrCreateCounter("stiletrail_items_rejected_total").Inc()
	m.DecisionLog.ItemRejected(item)
}

// StoreRestored implements gateway.DecisionLog.
func (m *Metrics) StoreRestored(era uint64) {
	m.set.GetOrCreateCounter("stiletrail_store_returns_total").Inc()
	m.DecisionLog.StoreRestored(era)
}

// LearnedFromPeer implements gateway.DecisionLog.
func (m *Metrics) LearnedFromPeer(from string, records int, revision history.Revision) {
	m.set.GetOrCreateCounter("stiletrail_learned_from_peers_total").Inc()
	m.DecisionLog.LearnedFromPeer(from, records, revision)
}

// RegisterGauges registers the gauges, whose values are read from the source when the metrics are requested.
func (m *Metrics) RegisterGauges(source GaugeSource) {
	gauge := func(name string, read func() float64) { m.set.NewGauge(name, read) }
	gauge("stiletrail_ready", func() float64 { return asNumber(source.Gateway.Ready()) })
	gauge("stiletrail_requests_under_way", func() float64 { return float64(source.Gateway.InFlight()) })
	gauge("stiletrail_configuration_version", func() float64 { return float64(source.Gateway.Version()) })
	gauge("stiletrail_store_contact_age_seconds", func() float64 { return source.Gateway.Status().StoreContactAge.Seconds() })
	gauge("stiletrail_copy_age_seconds", func() float64 { return source.Gateway.Status().CopyAge.Duration().Seconds() })
	gauge("stiletrail_copy_behind_seconds", func() float64 { return source.Gateway.Status().CopyBehind.Duration().Seconds() })
	gauge("stiletrail_store_revision", func() float64 { return float64(source.Gateway.Status().StoreRevision.Number) })
	gauge("stiletrail_store_era", func() float64 { return float64(source.Gateway.Status().StoreRevision.Era) })
	gauge("stiletrail_nodes", func() float64 { return float64(source.Gateway.Status().Nodes) })
	for _, state := range []string{gateway.BackEndReady, gateway.BackEndDraining, gateway.BackEndEjected, gateway.BackEndDoubtful, gateway.BackEndEvacuated, gateway.BackEndCold} {
		gauge(fmt.Sprintf(`stiletrail_back_ends{state=%q}`, state), func() float64 { return float64(source.Gateway.Status().BackEnds[state]) })
	}
	gauge("stiletrail_back_ends_at_fault", func() float64 { return float64(source.Gateway.Status().BackEndsAtFault) })
	gauge("stiletrail_zones_evacuated", func() float64 { return float64(source.Gateway.Status().EvacuatedZones) })
	gauge("stiletrail_loads_malformed_total", func() float64 { return float64(source.MalformedLoads()) })
	gauge("stiletrail_answers_oversized_total", func() float64 { return float64(source.OversizedAnswers()) })
	gauge("stiletrail_body_memory_bytes", func() float64 { return float64(source.BodyMemory.Used()) })
	gauge("stiletrail_body_memory_exhausted_total", func() float64 { return float64(source.BodyMemory.Exhausted()) })
	gauge("stiletrail_requests_quarantined", func() float64 { return float64(source.Gateway.Status().Quarantined) })
	m.registerQuotaGauges(source.Gateway)
	gauge("stiletrail_shards_waiting", func() float64 { return float64(source.Gateway.Status().Waiting) })
	gauge("stiletrail_back_end_connections", func() float64 { return float64(source.BackEndConnections()) })
	gauge("stiletrail_back_end_connections_opened_total", func() float64 { return float64(source.BackEndConnectionsOpened()) })
	if frames := source.PeerFrames; frames != nil {
		gauge("stiletrail_peer_frames_sent_total", func() float64 { return float64(frames.SentFrames.Load()) })
		gauge("stiletrail_peer_frames_received_total", func() float64 { return float64(frames.ReceivedFrames.Load()) })
		gauge("stiletrail_peer_connections_silent_total", func() float64 { return float64(frames.SilentConnections.Load()) })
		gauge("stiletrail_peer_frames_undelivered_total", func() float64 { return float64(frames.UndeliveredFrames.Load()) })
	}
	gauge("stiletrail_log_lines_dropped_total", func() float64 { return float64(source.LogLinesDropped()) })
}

// registerQuotaGauges registers the gauges of limits over all nodes, of tenants and of lent retry slack: the tokens that the node has borrowed and lent, and
// what it has exchanged with accountants.
func (m *Metrics) registerQuotaGauges(g *gateway.Gateway) {
	gauge := func(name string, read func(quota.State) float64) {
		m.set.NewGauge(name, func() float64 { return read(g.Status().Quotas) })
	}
	gauge(`stiletrail_quota_tokens{state="held"}`, func(s quota.State) float64 { return float64(s.Held) })
	gauge(`stiletrail_quota_tokens{state="lent"}`, func(s quota.State) float64 { return float64(s.Lent) })
	gauge(`stiletrail_quota_tokens{state="used"}`, func(s quota.State) float64 { return float64(s.Used) })
	gauge("stiletrail_quota_tokens_taken_total", func(s quota.State) float64 { return float64(s.Taken) })
	gauge("stiletrail_quota_tokens_returned_total", func(s quota.State) float64 { return float64(s.Returned) })
	gauge("stiletrail_quota_limits_used", func(s quota.State) float64 { return float64(s.Limits) })
	gauge("stiletrail_quota_pools", func(s quota.State) float64 { return float64(s.Pools) })
	gauge("stiletrail_quota_grant_age_seconds", func(s quota.State) float64 { return s.OldestGrant.Duration().Seconds() })
	gauge("stiletrail_quota_reports_total", func(s quota.State) float64 { return float64(s.Reports) })
	gauge("stiletrail_quota_grants_total", func(s quota.State) float64 { return float64(s.Grants) })
}

// asNumber returns 1 for true and 0 for false.
func asNumber(flag bool) float64 {
	if flag {
		return 1
	}
	return 0
}

// ServeHTTP implements http.Handler. It writes the metrics in the Prometheus text format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	m.set.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

package node

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"stiletrail/internal/engine"
)

// metrics has the metrics of a node. The counters of the engine and the transport are read when the metrics are
// scraped.
type metrics struct {
	registry *prometheus.Registry
	latency  prometheus.Histogram
	coverage prometheus.Histogram
}

func (n *Node) newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		latency: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "stiletrail_search_seconds", Help: "Time from a search's arrival to its answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 1.5, 20),
		}),
		coverage: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "stiletrail_search_coverage_ratio", Help: "Share of shards answered per search.",
			Buckets: []float64{0, 0.5, 0.8, 0.9, 0.95, 0.99, 0.999},
		}),
	}
	process := collectors.NewProcessCollector(collectors.ProcessCollectorOpts{})
	m.registry.MustRegister(m.latency, m.coverage, collectors.NewGoCollector(), process)
	n.addRequestMetrics(m)
	n.addBackEndMetrics(m)
	n.addNodeMetrics(m)
	return m
}

// addRequestMetrics adds the counters of searches and executes by outcome.
func (n *Node) addRequestMetrics(m *metrics) {
	n.registerCounter(m, "stiletrail_searches_total", "Searches received.",
		func(e *engine.Engine) uint64 { return e.Counters.Searches })
	n.registerCounter(m, "stiletrail_searches_complete_total", "Searches answered with the results of all shards.",
		func(e *engine.Engine) uint64 { return e.Counters.Complete })
	n.registerCounter(m, "stiletrail_searches_partial_total",
		"Searches answered with the results of some shards and a list of the missing ones.",
		func(e *engine.Engine) uint64 { return e.Counters.Partial })
	n.registerCounter(m, "stiletrail_searches_refused_total", "Searches refused without running.",
		func(e *engine.Engine) uint64 { return e.Counters.Refused })
	n.registerCounter(m, "stiletrail_searches_failed_total", "Searches that failed and may have run.",
		func(e *engine.Engine) uint64 { return e.Counters.Failed })
	n.registerCounter(m, "stiletrail_executes_total", "Executes: requests that are not repeatable.",
		func(e *engine.Engine) uint64 { return e.Counters.Executes })
	n.registerCounter(m, "stiletrail_executes_unknown_total", "Executes whose outcome is unknown.",
		func(e *engine.Engine) uint64 { return e.Counters.UnknownOutcomes })
}

// addBackEndMetrics adds the counters of the dispatcher: sub-queries, attempts, hedges, retries and faulty back ends.
func (n *Node) addBackEndMetrics(m *metrics) {
	n.registerCounter(m, "stiletrail_shards_asked_total", "Shards requested in sub-queries.",
		func(e *engine.Engine) uint64 { return e.DispatchCounters().ShardsAsked })
	n.registerCounter(m, "stiletrail_shard_attempts_total", "Shards requested from back ends, including hedges and retries.",
		func(e *engine.Engine) uint64 { return e.DispatchCounters().ShardAttempts })
	n.registerCounter(m, "stiletrail_attempts_total", "Requests to back ends.",
		func(e *engine.Engine) uint64 { return e.DispatchCounters().Attempts })
	n.registerCounter(m, "stiletrail_hedges_total", "Hedges sent.",
		func(e *engine.Engine) uint64 { return e.DispatchCounters().Hedges })
	n.registerCounter(m, "stiletrail_hedges_won_total", "Hedges whose answer came before that of the first attempt.",
		func(e *engine.Engine) uint64 { return e.DispatchCounters().HedgesWon })
	n.registerCounter(m, "stiletrail_retries_total", "Retries sent.",
		func(e *engine.Engine) uint64 { return e.DispatchCounters().Retries })
	n.registerCounter(m, "stiletrail_invalid_answers_total", "Answers that did not match their attempt.",
		func(e *engine.Engine) uint64 {
			return e.DispatchCounters().InvalidAnswers + e.DispatchCounters().WrongSnapshot
		})
	n.registerCounter(m, "stiletrail_ejections_total", "Times that a back end was excluded from use for a limited time.",
		func(e *engine.Engine) uint64 { return e.DispatchCounters().Ejections })
	n.registerCounter(m, "stiletrail_sheds_total", "Attempts that back ends refused for lack of free slots.",
		func(e *engine.Engine) uint64 { return e.DispatchCounters().ShedByBackEnd })
}

// addNodeMetrics adds the state of the node and its traffic with other nodes.
func (n *Node) addNodeMetrics(m *metrics) {
	n.registerCounter(m, "stiletrail_store_failures_total", "Reads of the store that failed.",
		func(e *engine.Engine) uint64 { return e.Counters.StoreFailures })
	n.registerCounter(m, "stiletrail_freezes_total", "Times the process was found to have been frozen.",
		func(e *engine.Engine) uint64 { return e.Counters.Freezes })
	n.registerTrafficCounter(m, "stiletrail_peer_sent_bytes_total", "Bytes sent to other nodes, control traffic included.",
		&n.transport.Counters.SentBytes)
	n.registerTrafficCounter(m, "stiletrail_peer_sent_control_bytes_total", "Bytes of control traffic sent to other nodes.",
		&n.transport.Counters.SentControlBytes)
	n.registerTrafficCounter(m, "stiletrail_peer_received_bytes_total", "Bytes received from other nodes.",
		&n.transport.Counters.ReceivedBytes)
	n.registerTrafficCounter(m, "stiletrail_peer_undelivered_total", "Frames not delivered to other nodes.",
		&n.transport.Counters.UndeliveredFrames)
	n.registerTrafficCounter(m, "stiletrail_peer_malformed_total", "Connections closed for malformed input.",
		&n.transport.Counters.MalformedInput)
	n.registerGauge(m, "stiletrail_members_alive", "Members that can be sent work.",
		func(e *engine.Engine) float64 { return float64(countUsable(e)) })
	n.registerGauge(m, "stiletrail_ready", "1 while the node accepts new requests, 0 otherwise.",
		func(e *engine.Engine) float64 { return boolToFloat(e.Ready()) })
	n.registerGauge(m, "stiletrail_relay", "1 while the node reads the store for its zone, 0 otherwise.",
		func(e *engine.Engine) float64 { return boolToFloat(e.IsRelay()) })
	n.registerGauge(m, "stiletrail_alarms", "Alarms that the status lists.",
		func(e *engine.Engine) float64 { return float64(len(e.Alarms())) })
}

func boolToFloat(flag bool) float64 {
	if flag {
		return 1
	}
	return 0
}

func countUsable(e *engine.Engine) int {
	count := 0
	for _, member := range e.Members() {
		if member.Usable() {
			count++
		}
	}
	return count
}

func (n *Node) registerCounter(m *metrics, name, help string, read func(*engine.Engine) uint64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 {
		var value uint64
		n.Inspect(func(e *engine.Engine) { value = read(e) })
		return float64(value)
	}))
}

func (n *Node) registerTrafficCounter(m *metrics, name, help string, counter *atomic.Uint64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 {
		return float64(counter.Load())
	}))
}

func (n *Node) registerGauge(m *metrics, name, help string, read func(*engine.Engine) float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, func() float64 {
		var value float64
		n.Inspect(func(e *engine.Engine) { value = read(e) })
		return value
	}))
}

func (n *Node) metricsHandler() http.Handler {
	n.metrics = n.newMetrics()
	return promhttp.HandlerFor(n.metrics.registry, promhttp.HandlerOpts{})
}

func (n *Node) observeSearch(answer engine.SearchAnswer, elapsed time.Duration) {
	n.metrics.latency.Observe(elapsed.Seconds())
	if answer.Coverage.TotalKnown {
		n.metrics.coverage.Observe(answer.Coverage.Ratio())
	}
}

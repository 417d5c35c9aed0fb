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

// metrics of a node. Counters kept by the engine and the transport are read when they are scraped.
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

// addRequestMetrics adds what became of searches and executes.
func (n *Node) addRequestMetrics(m *metrics) {
	n.counter(m, "stiletrail_searches_total", "Searches taken.", func(e *engine.Engine) uint64 { return e.Counters.Searches })
	n.counter(m, "stiletrail_searches_complete_total", "Searches answered over all shards.",
		func(e *engine.Engine) uint64 { return e.Counters.Complete })
	n.counter(m, "stiletrail_searches_partial_total", "Searches answered in part, and said so.",
		func(e *engine.Engine) uint64 { return e.Counters.Partial })
	n.counter(m, "stiletrail_searches_refused_total", "Searches refused as not run.",
		func(e *engine.Engine) uint64 { return e.Counters.Refused })
	n.counter(m, "stiletrail_searches_failed_total", "Searches failed otherwise.",
		func(e *engine.Engine) uint64 { return e.Counters.Failed })
	n.counter(m, "stiletrail_executes_total", "Requests that are not repeatable.",
		func(e *engine.Engine) uint64 { return e.Counters.Executes })
	n.counter(m, "stiletrail_executes_unknown_total", "Of these, with unknown outcome.",
		func(e *engine.Engine) uint64 { return e.Counters.UnknownOutcomes })
}

// addBackEndMetrics adds what the dispatcher did.
func (n *Node) addBackEndMetrics(m *metrics) {
	n.counter(m, "stiletrail_shards_asked_total", "Shards asked for in sub-queries.",
		func(e *engine.Engine) uint64 { return e.DispatchCounters().ShardsAsked })
	n.counter(m, "stiletrail_shard_attempts_total", "Shards asked of back ends, hedges and retries included.",
		func(e *engine.Engine) uint64 { return e.DispatchCounters().ShardAttempts })
	n.counter(m, "stiletrail_attempts_total", "Requests to back ends.",
		func(e *engine.Engine) uint64 { return e.DispatchCounters().Attempts })
	n.counter(m, "stiletrail_hedges_total", "Hedges sent.",
		func(e *engine.Engine) uint64 { return e.DispatchCounters().Hedges })
	n.counter(m, "stiletrail_hedges_won_total", "Hedges that answered first.",
		func(e *engine.Engine) uint64 { return e.DispatchCounters().HedgesWon })
	n.counter(m, "stiletrail_retries_total", "Retries sent.",
		func(e *engine.Engine) uint64 { return e.DispatchCounters().Retries })
	n.counter(m, "stiletrail_invalid_answers_total", "Answers that did not match their request.", func(e *engine.Engine) uint64 {
		return e.DispatchCounters().InvalidAnswers + e.DispatchCounters().WrongSnapshot
	})
	n.counter(m, "stiletrail_ejections_total", "Back ends taken out for a while.",
		func(e *engine.Engine) uint64 { return e.DispatchCounters().Ejections })
	n.counter(m, "stiletrail_sheds_total", "Attempts that back ends refused for lack of slots.",
		func(e *engine.Engine) uint64 { return e.DispatchCounters().ShedByBackEnd })
}

// addNodeMetrics adds the state of the node and its traffic with others.
func (n *Node) addNodeMetrics(m *metrics) {
	n.counter(m, "stiletrail_store_failures_total", "Readings of the store that failed.",
		func(e *engine.Engine) uint64 { return e.Counters.StoreFailures })
	n.counter(m, "stiletrail_freezes_total", "Times the process was found to have been frozen.",
		func(e *engine.Engine) uint64 { return e.Counters.Freezes })
	n.traffic(m, "stiletrail_peer_sent_bytes_total", "Bytes sent to other nodes.", &n.transport.Counters.SentBytes)
	n.traffic(m, "stiletrail_peer_sent_control_bytes_total", "Of these, for control.", &n.transport.Counters.SentControlBytes)
	n.traffic(m, "stiletrail_peer_received_bytes_total", "Bytes received from other nodes.", &n.transport.Counters.ReceivedBytes)
	n.traffic(m, "stiletrail_peer_undelivered_total", "Frames not delivered to other nodes.",
		&n.transport.Counters.UndeliveredFrames)
	n.traffic(m, "stiletrail_peer_malformed_total", "Connections closed for malformed input.", &n.transport.Counters.MalformedInput)
	n.gauge(m, "stiletrail_members_alive", "Members usable for work.",
		func(e *engine.Engine) float64 { return float64(countUsable(e)) })
	n.gauge(m, "stiletrail_ready", "1 while the node takes new work.",
		func(e *engine.Engine) float64 { return asNumber(e.Ready()) })
	n.gauge(m, "stiletrail_relay", "1 while the node reads the store for its zone.",
		func(e *engine.Engine) float64 { return asNumber(e.IsRelay()) })
	n.gauge(m, "stiletrail_alarms", "Alarms that status shows.",
		func(e *engine.Engine) float64 { return float64(len(e.Alarms())) })
}

func asNumber(flag bool) float64 {
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

func (n *Node) counter(m *metrics, name, help string, read func(*engine.Engine) uint64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 {
		var value uint64
		n.Inspect(func(e *engine.Engine) { value = read(e) })
		return float64(value)
	}))
}

func (n *Node) traffic(m *metrics, name, help string, counter *atomic.Uint64) {
	m.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: name, Help: help}, func() float64 {
		return float64(counter.Load())
	}))
}

func (n *Node) gauge(m *metrics, name, help string, read func(*engine.Engine) float64) {
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

package main

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"stiletrail/internal/decisionlog"
	"stiletrail/internal/exchange"
	"stiletrail/internal/gateway"
)

func metricsHandler(node *gateway.Gateway, pool *exchange.Pool, writer *decisionlog.Writer) http.Handler {
	gauge := func(name string, read func() float64) { metrics.NewGauge(name, read) }
	gauge("stiletrail_ready", func() float64 {
		if node.Ready() {
			return 1
		}
		return 0
	})
	gauge("stiletrail_requests_under_way", func() float64 { return float64(node.UnderWay()) })
	gauge("stiletrail_back_end_connections", func() float64 { return float64(pool.Open.Load()) })
	gauge("stiletrail_back_end_connections_opened_total", func() float64 { return float64(pool.Opened.Load()) })
	gauge("stiletrail_log_lines_dropped_total", func() float64 { return float64(writer.Dropped()) })
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, false) })
}

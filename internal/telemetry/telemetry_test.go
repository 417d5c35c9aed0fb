package telemetry_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"stiletrail/internal/failure"
	"stiletrail/internal/forward"
	"stiletrail/internal/gateway"
	"stiletrail/internal/membudget"
	"stiletrail/internal/replica"
	"stiletrail/internal/settings"
	"stiletrail/internal/telemetry"
	"stiletrail/internal/transport"
)

// countingLog is a decision log that counts requests.
type countingLog struct {
	gateway.DecisionLog
	requests int
}

// Request implements gateway.DecisionLog.
func (l *countingLog) Request(*gateway.Call, *gateway.Result) { l.requests++ }

// TestMetrics: calls are counted, metrics and passed on to the next log, and the metrics are served with the gauges of
// the gateway.
func TestMetrics(t *testing.T) {
	log := &countingLog{}
	metrics := telemetry.New(log)
	node := gateway.New(gateway.FromSettings(settings.DefaultGateway()), nil, nil, metrics)
	frames := &transport.Counters{}
	frames.SentFrames.Store(5)
	metrics.RegisterGauges(telemetry.GaugeSource{
		Gateway: node, BackEndConnections: func() int64 { return 3 }, BackEndConnectionsOpened: func() int64 { return 9 },
		LogLinesDropped: func() uint64 { return 2 }, MalformedLoads: func() int64 { return 3 }, OversizedAnswers: func() int64 { return 4 }, BodyMemory: membudget.New(1), PeerFrames: frames,
	})
	attempt := &forward.Attempt{
		Replica: &replica.Replica{}, Purpose: forward.Hedge, StartedAt: time.Second, EndedAt: 1100 * time.Millisecond,
		Outcome: forward.Outcome{Kind: forward.Answered},
	}
	metrics.Request(&gateway.Call{}, &gateway.Result{Attempts: []*forward.Attempt{attempt}, Elapsed: 30 * time.Millisecond})
	metrics.RecordConnectTime(7 * time.Millisecond)
	first := &forward.Attempt{Replica: &replica.Replica{}, Purpose: forward.First, StartedAt: 40 * time.Millisecond}
	metrics.Request(&gateway.Call{}, &gateway.Result{Attempts: []*forward.Attempt{first}, Arrived: 10 * time.Millisecond})
	metrics.Request(&gateway.Call{}, &gateway.Result{Answer: forward.Answer{
		Failure: failure.NewRefusal(failure.Overloaded, "", 0), Reason: forward.AllRefused,
	}})
	recorder := httptest.NewRecorder()
	metrics.ServeHTTP(recorder, nil)
	text := recorder.Body.String()
	for _, want := range []string{
		`stiletrail_requests_total{outcome="complete"} 2`, `stiletrail_requests_total{outcome="OVERLOADED"} 1`,
		`stiletrail_request_ends_total{reason="all_refused"} 1`, `stiletrail_attempts_total{purpose="hedge"} 1`,
		`stiletrail_attempt_seconds_count{purpose="hedge"} 1`, `stiletrail_request_seconds_count 3`,
		`stiletrail_queue_seconds_sum 0.03`, `stiletrail_connect_seconds_sum 0.007`,
		`stiletrail_ready 0`, `stiletrail_back_end_connections 3`, `stiletrail_log_lines_dropped_total 2`,
		`stiletrail_peer_frames_sent_total 5`, `stiletrail_peer_frames_received_total 0`, `stiletrail_copy_age_seconds -0.001`,
		`stiletrail_back_ends{state="ready"} 0`, `process_resident_memory_bytes`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("the metrics lack %q:\n%s", want, text)
		}
	}
	if log.requests != 3 {
		t.Errorf("%d requests were passed on to the next log, want 3", log.requests)
	}
}

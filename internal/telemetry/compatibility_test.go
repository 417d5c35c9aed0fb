package telemetry_test

import (
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/failure"
	"stiletrail/internal/forward"
	"stiletrail/internal/gateway"
	"stiletrail/internal/history"
	"stiletrail/internal/membudget"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/replica"
	"stiletrail/internal/settings"
	"stiletrail/internal/sharedhealth"
	"stiletrail/internal/telemetry"
	"stiletrail/internal/transport"
)

// discardingLog is a decision log that writes nothing.
type discardingLog struct{ gateway.DecisionLog }

func (discardingLog) Request(*gateway.Call, *gateway.Result)                                      {}
func (discardingLog) BackEndEjected(*forward.Attempt, forward.Outcome)                            {}
func (discardingLog) BackEndJudged(replica.Entry, sharedhealth.Change)                            {}
func (discardingLog) BackEndCrashed(*gateway.Call, *forward.Attempt, clock.Ms)                    {}
func (discardingLog) VerdictChanged(quarantine.Fingerprint, quarantine.Verdict, string, clock.Ms) {}
func (discardingLog) QuarantineNotWritten(quarantine.Fingerprint, *failure.Failure)               {}
func (discardingLog) ItemRejected(*gateway.Item)                                                  {}
func (discardingLog) StoreRestored(uint64)                                                        {}
func (discardingLog) LearnedFromPeer(from string, records int, revision history.Revision)         {}

// metricValue matches the value at the end of a line of metrics.
var metricValue = regexp.MustCompile(` [^ ]*$`)

// TestMetricsCompatibility: the metrics keep their names and labels. Dashboards and alerts depend on them. The metrics
// of the process, which the library adds, are not compared.
func TestMetricsCompatibility(t *testing.T) {
	metrics := telemetry.New(discardingLog{})
	count := func() int64 { return 1 }
	metrics.RegisterGauges(telemetry.GaugeSource{
		Gateway: gateway.New(gateway.FromSettings(settings.DefaultGateway()), nil, nil, metrics), BackEndConnections: count,
		BackEndConnectionsOpened: count, LogLinesDropped: func() uint64 { return 1 }, MalformedLoads: count, OversizedAnswers: count, BodyMemory: membudget.New(1), PeerFrames: &transport.Counters{},
	})
	attempts := []*forward.Attempt{}
	for _, purpose := range []forward.Purpose{forward.First, forward.Hedge, forward.Retry} {
		attempts = append(attempts, &forward.Attempt{
			Replica: &replica.Replica{}, Purpose: purpose, EndedAt: 20 * time.Millisecond, Outcome: forward.Outcome{Kind: forward.Answered},
		})
	}
	lost := &forward.Attempt{Replica: &replica.Replica{}, Purpose: forward.Retry, Outcome: forward.Outcome{Kind: forward.Lost}}
	metrics.Request(&gateway.Call{}, &gateway.Result{
		Answer: forward.Answer{MissingShards: 1, Reason: forward.TargetReached}, Attempts: append(attempts, lost), Elapsed: 30 * time.Millisecond,
		Prioritized: true, Rank: 1, Waited: 4 * time.Millisecond,
		Denied: func(*forward.Attempt) forward.DenialReason { return forward.DeniedNoBudget },
	})
	metrics.Request(&gateway.Call{}, &gateway.Result{Answer: forward.Answer{MissingShards: 1}, Quota: &gateway.QuotaDecision{Below: true}})
	metrics.Request(&gateway.Call{}, &gateway.Result{Answer: forward.Answer{MissingShards: 1}, Quota: &gateway.QuotaDecision{}})
	metrics.RecordConnectTime(7 * time.Millisecond)
	metrics.BackEndEjected(lost, lost.Outcome)
	metrics.BackEndCrashed(&gateway.Call{}, lost, 12)
	metrics.BackEndJudged(replica.Entry{}, sharedhealth.Change{Verdict: sharedhealth.Verdict{Unreachable: true}})
	metrics.VerdictChanged(quarantine.Fingerprint{}, quarantine.Quarantined, "own", 0)
	metrics.QuarantineNotWritten(quarantine.Fingerprint{}, nil)
	metrics.ItemRejected(&gateway.Item{})
	metrics.StoreRestored(3)
	metrics.LearnedFromPeer("", 1, history.Revision{})
	recorder := httptest.NewRecorder()
	metrics.ServeHTTP(recorder, nil)
	var got []string
	for line := range strings.Lines(recorder.Body.String()) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "stiletrail_") || strings.HasPrefix(line, "#") {
			got = append(got, metricValue.ReplaceAllString(line, ""))
		}
	}
	want, err := os.ReadFile("testdata/names.txt")
	if err != nil {
		t.Fatal(err)
	}
	if names := strings.Split(strings.TrimSpace(string(want)), "\n"); !slices.Equal(got, names) {
		t.Errorf("the metrics served are\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(names, "\n"))
	}
}

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
	"stiletrail/internal/quarantine"
	"stiletrail/internal/replica"
	"stiletrail/internal/settings"
	"stiletrail/internal/telemetry"
	"stiletrail/internal/transport"
)

// silent is a decision log that writes nothing.
type silent struct{ gateway.DecisionLog }

func (silent) Request(*gateway.Call, *gateway.Result)                                      {}
func (silent) BackEndEjected(*forward.Attempt, forward.Outcome)                            {}
func (silent) BackEndCrashed(*gateway.Call, *forward.Attempt, clock.Ms)                    {}
func (silent) VerdictChanged(quarantine.Fingerprint, quarantine.Verdict, string, clock.Ms) {}
func (silent) QuarantineNotWritten(quarantine.Fingerprint, *failure.Failure)               {}
func (silent) ItemRejected(*gateway.Item)                                                  {}
func (silent) StoreRestored(uint64)                                                        {}
func (silent) LearnedFromPeer(from string, records int, revision history.Revision)         {}

// value is what stands behind the name of a metric.
var value = regexp.MustCompile(` [^ ]*$`)

// TestMetricsOfOld: the metrics have the names, labels and form that they have had. Dashboards and alerts go by them. Those of the process, which the
// library adds, are left out.
func TestMetricsOfOld(t *testing.T) {
	measured := telemetry.New(silent{})
	count := func() int64 { return 1 }
	measured.RegisterGauges(telemetry.GaugeSource{
		Gateway: gateway.New(gateway.FromSettings(settings.DefaultGateway()), nil, nil, measured), BackEndConnections: count,
		BackEndConnectionsOpened: count, LogLinesDropped: func() uint64 { return 1 }, MalformedLoads: count, PeerFrames: &transport.Counters{},
	})
	attempts := []*forward.Attempt{}
	for _, purpose := range []forward.Purpose{forward.First, forward.Hedge, forward.Retry} {
		attempts = append(attempts, &forward.Attempt{
			Replica: &replica.Replica{}, Purpose: purpose, EndedAt: 20 * time.Millisecond, Outcome: forward.Outcome{Kind: forward.Answered},
		})
	}
	lost := &forward.Attempt{Replica: &replica.Replica{}, Purpose: forward.Retry, Outcome: forward.Outcome{Kind: forward.Lost}}
	measured.Request(&gateway.Call{}, &gateway.Result{
		Answer: forward.Answer{MissingShards: 1, Reason: forward.TargetReached}, Attempts: append(attempts, lost), Elapsed: 30 * time.Millisecond,
		Denied: func(*forward.Attempt) forward.DenialReason { return forward.DeniedNoBudget },
	})
	measured.RecordConnectTime(7 * time.Millisecond)
	measured.BackEndEjected(lost, lost.Outcome)
	measured.BackEndCrashed(&gateway.Call{}, lost, 12)
	measured.VerdictChanged(quarantine.Fingerprint{}, quarantine.Quarantined, "own", 0)
	measured.QuarantineNotWritten(quarantine.Fingerprint{}, nil)
	measured.ItemRejected(&gateway.Item{})
	measured.StoreRestored(3)
	measured.LearnedFromPeer("", 1, history.Revision{})
	recorder := httptest.NewRecorder()
	measured.ServeHTTP(recorder, nil)
	var got []string
	for line := range strings.Lines(recorder.Body.String()) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "stiletrail_") || strings.HasPrefix(line, "#") {
			got = append(got, value.ReplaceAllString(line, ""))
		}
	}
	want, err := os.ReadFile("testdata/names.txt")
	if err != nil {
		t.Fatal(err)
	}
	if names := strings.Split(strings.TrimSpace(string(want)), "\n"); !slices.Equal(got, names) {
		t.Errorf("served are\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(names, "\n"))
	}
}

package decisionlog_test

import (
	"errors"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"stiletrail/internal/admit"
	"stiletrail/internal/decisionlog"
	"stiletrail/internal/failure"
	"stiletrail/internal/follow"
	"stiletrail/internal/forward"
	"stiletrail/internal/gateway"
	"stiletrail/internal/history"
	"stiletrail/internal/quarantine"
	"stiletrail/internal/replica"
	"stiletrail/internal/routing"
	"stiletrail/internal/sharedhealth"
	"stiletrail/internal/spread"
)

// timestamp matches the field of a line that differs between runs.
var timestamp = regexp.MustCompile(`"time":"[^"]*"`)

// TestLogCompatibility: the lines of all events keep their fields and their format. Tools of this repository and of
// users that read the logs depend on them.
func TestLogCompatibility(t *testing.T) {
	table, err := routing.Compile(routing.Configuration{Version: 21})
	if err != nil {
		t.Fatal(err)
	}
	fingerprint := quarantine.Fingerprint{0x1a, 0x2b, 0x3c, 0x4d, 0x5e, 0x6f, 0x70, 0x81}
	call := &gateway.Call{ID: "request-1", Caller: "10.0.0.9", Identity: quarantine.Identity{Request: fingerprint}}
	at, later := history.At(2, 68), history.At(3, 70)
	answered, lost, open := attempts()
	down := failure.New(failure.StoreUnavailable, "down")
	judged := sharedhealth.Change{
		Verdict: sharedhealth.Verdict{RefusedShare: 0.6}, Attempts: 30.2, RefusedShare: 0.6, SiblingsRefusedShare: 0.021, Nodes: 12,
	}
	lines := logged(func(log *decisionlog.Log) {
		log.Started("s", nil)
		log.ReloadRefused("not valid")
		log.Stopped("terminated")
		log.Request(call, ended(forward.Answer{TotalShards: 3, Reason: forward.TargetReached}, answered))
		log.Request(call, ended(forward.Answer{TotalShards: 3, MissingShards: 1, Reason: forward.TargetReached}, answered, lost, open))
		log.Request(call, &gateway.Result{
			Answer:   forward.Answer{Failure: failure.NewRefusal(failure.Overloaded, "", time.Second), Reason: forward.TurnedAway},
			Overload: admit.OverloadLevel{MissingShare: 1.9, ShedShare: 0.126, TurnedAwayShare: 0.5},
		})
		log.Request(call, &gateway.Result{
			Answer: forward.Answer{Failure: failure.NewRefusal(failure.QuotaExceeded, "", time.Second), Reason: forward.QuotaExceeded},
			Quota:  &gateway.QuotaDecision{Answered: true, Allowed: 204, InUse: 228, Age: 26, Waited: 30},
		})
		log.Request(call, &gateway.Result{
			Answer: forward.Answer{Failure: failure.New(failure.UnknownService, "")}, Version: 21, CopyAge: 340,
			Copy: &gateway.CopyStatus{Copy: spread.Copy{Revision: at, ConfirmedBy: "10.0.0.2:1", Behind: 1200}, Age: 340},
		})
		log.BackEndEjected(lost, lost.Outcome)
		log.BackEndCrashed(call, lost, 12)
		log.BackEndJudged(replica.Entry{ID: "back-end-1", Service: "service"}, judged)
		log.VerdictChanged(fingerprint, quarantine.Quarantined, "own", 600_000)
		log.RetrialClaimed(fingerprint, "v2")
		log.QuarantineNotWritten(fingerprint, down)
		log.ConfigurationApplied(table, at, gateway.CopyStatus{Copy: spread.Copy{Revision: at, ConfirmedBy: spread.Store, Behind: 40}, Age: 900})
		log.ItemRejected(&gateway.Item{Key: "key", Revision: at, Err: errors.New("unreadable")})
		log.BackEndUpdated(replica.Entry{ID: "back-end-1", Service: "service", Zone: "zone-a"}, at)
		log.BackEndUpdated(replica.Entry{ID: "back-end-1", Service: "service", Zone: "zone-a", Draining: true}, at)
		log.BackEndVanished("back-end-1", true)
		log.BackEndVanished("back-end-1", false)
		log.ZoneEvacuated("zone-a", at)
		log.ZoneEvacuationEnded("zone-a")
		log.StoreListed(12, at)
		log.StoreRegressed(later, at)
		log.StoreRestored(3)
		log.OutdatedRecordsRead("key", at, later, 4)
		log.StoreCallFailed(follow.Unavailable, down, 1500*time.Millisecond)
		log.StoreAnswered(20 * time.Millisecond)
		log.CopyStale(2100)
		log.CopyFresh()
		log.MachineSuspended(3000)
		log.MembersChanged(6)
		log.LearnedFromPeer("10.0.0.2:1", 5, at)
		log.PeerSilent("10.0.0.2:1")
		log.PeerMalformed("10.0.0.2:1", errors.New("a short frame"))
		log.InternalError("a fault")
		_, _ = log.Write([]byte("of a library\n"))
	})
	compareWithFile(t, "testdata/lines.txt", timestamp.ReplaceAllString(strings.Join(lines, "\n"), `"time":""`)+"\n")
}

// attempts returns an attempt that was answered, one that was lost and one that is still open.
func attempts() (answered, lost, open *forward.Attempt) {
	attempt := func(id string, purpose forward.Purpose, outcome forward.Outcome) *forward.Attempt {
		return &forward.Attempt{
			Service: "service", Replica: &replica.Replica{Entry: replica.Entry{ID: id}}, Purpose: purpose,
			StartedAt: 1010 * time.Millisecond, EndedAt: 1022 * time.Millisecond, Outcome: outcome,
		}
	}
	answered = attempt("back-end-1", forward.First, forward.Outcome{
		Kind: forward.Answered, Load: replica.Load{Reported: true, Running: 3, Waiting: 1, Slots: 4, Slowdown: 1.25},
	})
	lost = attempt("back-end-2", forward.Hedge, forward.Outcome{Kind: forward.Lost, Detail: "reset"})
	open = attempt("back-end-3", forward.Retry, forward.Outcome{})
	return answered, lost, open
}

func ended(answer forward.Answer, attempts ...*forward.Attempt) *gateway.Result {
	return &gateway.Result{
		Answer: answer, Route: &routing.Route{Name: "route"}, Version: 21, CopyAge: 340, Attempts: attempts,
		Arrived: time.Second, Elapsed: 95 * time.Millisecond,
		Denied: func(attempt *forward.Attempt) forward.DenialReason {
			if attempt.Purpose == forward.Hedge {
				return forward.DeniedNoBudget
			}
			return ""
		},
	}
}

func compareWithFile(t *testing.T, path, got string) {
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("the log is\n%s\nwant as in %s\n%s", got, path, want)
	}
}

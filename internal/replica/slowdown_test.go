package replica_test

import (
	"testing"
	"time"

	"stiletrail/internal/replica"
)

// slowdownSet returns a set that uses reported slowdowns, with a replica of the own zone that takes 12 ms and one of
// another region that takes 36 ms. It also returns the current time.
func slowdownSet() (*replica.Set, time.Duration) {
	set := newSet(entry("own", "a1"), entry("far", "b1"))
	withSlowdown := settings
	withSlowdown.UseSlowdown = true
	set.Reconfigure(withSlowdown, replica.Topology{Zone: "a1", Regions: map[string]string{"a1": "a", "b1": "b"}})
	now := runAttempt(set, 0, "own", 12*millisecond, replica.Answered)
	return set, runAttempt(set, now, "far", 36*millisecond, replica.Answered)
}

func load(factor float64) replica.Load {
	return replica.Load{Reported: true, Running: 1, Slots: 4, Slowdown: factor}
}

// TestReportedSlowdown checks that a replica is avoided once another node reports it as slow, before this node has used
// it. The node's own recent observation takes precedence over a report, a report expires, and a report of normal speed
// ends the avoidance. A report about an unknown replica changes nothing.
func TestReportedSlowdown(t *testing.T) {
	set, now := slowdownSet()
	now += 100 * millisecond
	key := set.Get("own").Key()
	set.RecordReport(now, key, 12, 0, now-50*millisecond)
	if got := picked(set, now); got != "far" {
		t.Errorf("picked %q, want \"far\": the replica of the own zone is slow", got)
	}
	if got := picked(set, now+5*time.Second); got != "own" {
		t.Errorf("picked %q five seconds after the report, want \"own\"", got)
	}
	set.RecordReport(now, key, 1, 0, now)
	if got := picked(set, now); got != "own" {
		t.Errorf("picked %q after a report of normal speed, want \"own\"", got)
	}
	set.Get("own").RecordLoad(now, load(1))
	set.RecordReport(now+100*millisecond, key, 12, 0, now+90*millisecond)
	if got := picked(set, now+100*millisecond); got != "own" {
		t.Errorf("picked %q, want \"own\", which reported normal speed to this node 100 ms ago", got)
	}
	set.RecordReport(now, 4711, 12, 0, now)
}

// TestReportsCannotEmptyAService guards against a faulty or lying node: if it reports every replica as slow and
// failing, one of them is still picked.
func TestReportsCannotEmptyAService(t *testing.T) {
	set, now := slowdownSet()
	for _, id := range []string{"own", "far"} {
		set.RecordReport(now, set.Get(id).Key(), 60, 1, now)
	}
	if got := picked(set, now); got == "" {
		t.Error("no replica is picked after both were reported as slow and failing")
	}
}

// TestSlowdownIsNotLatency guards against counting a slowdown twice: an answer that took long because the replica works
// slowly says that the replica is slow now. It must not raise the replica's average latency, which would outlast the
// slowdown.
func TestSlowdownIsNotLatency(t *testing.T) {
	set, now := slowdownSet()
	slow := set.Get("own")
	slow.StartAttempt(now)
	slow.RecordLoad(now+100*millisecond, load(8))
	slow.FinishAttempt(now+100*millisecond, now, replica.Answered)
	now += 100 * millisecond
	if got := picked(set, now); got != "far" {
		t.Errorf("picked %q, want \"far\": the replica of the own zone is slow", got)
	}
	slow.RecordLoad(now, load(1))
	if got := picked(set, now); got != "own" || slow.AverageLatency() > 20*millisecond {
		t.Errorf("picked %q, average latency of \"own\" %v; want \"own\", at most 20ms", got, slow.AverageLatency())
	}
}

package replica_test

import (
	"testing"
	"time"

	"stiletrail/internal/replica"
)

// pacedSet has a near and a far replica, each known to take 12 and 36 ms, and goes by the pace that is told.
func pacedSet() (*replica.Set, time.Duration) {
	set := newSet(entry("own", "a1"), entry("far", "b1"))
	paced := settings
	paced.UseSlowdown = true
	set.Reconfigure(paced, replica.Topology{Zone: "a1", Regions: map[string]string{"a1": "a", "b1": "b"}})
	now := run(set, 0, "own", 12*millisecond, replica.Answered)
	return set, run(set, now, "far", 36*millisecond, replica.Answered)
}

func load(slowed float64) replica.Load {
	return replica.Load{Reported: true, Running: 1, Slots: 4, Slowdown: slowed}
}

// TestHeardToBeSlow: a replica that another node met as slow is left before this node has met it; first-hand knowledge of late goes before that; what was
// heard is forgotten; and a replica that is heard to be well again is picked again.
func TestHeardToBeSlow(t *testing.T) {
	set, now := pacedSet()
	now += 100 * millisecond
	key := set.Get("own").Key()
	set.RecordReport(now, key, 12, 0, now-50*millisecond)
	if got := picked(set, now); got != "far" {
		t.Errorf("picked %q, the near one is slow", got)
	}
	if got := picked(set, now+5*time.Second); got != "own" {
		t.Errorf("picked %q five seconds later", got)
	}
	set.RecordReport(now, key, 1, 0, now)
	if got := picked(set, now); got != "own" {
		t.Errorf("picked %q, the near one is well again", got)
	}
	set.Get("own").RecordLoad(now, load(1))
	set.RecordReport(now+100*millisecond, key, 12, 0, now+90*millisecond)
	if got := picked(set, now+100*millisecond); got != "own" {
		t.Errorf("picked %q, it was met as well 100 ms ago", got)
	}
	set.RecordReport(now, 4711, 12, 0, now)
}

// TestHearsayEmptiesNoService: a node that tells of all replicas that they are slow and faulty changes which is picked, and not that one is.
func TestHearsayEmptiesNoService(t *testing.T) {
	set, now := pacedSet()
	for _, id := range []string{"own", "far"} {
		set.RecordReport(now, set.Get(id).Key(), 60, 1, now)
	}
	if got := picked(set, now); got == "" {
		t.Error("no replica is picked")
	}
}

// TestPaceIsNotLatency: an answer that took long at a slow pace says of the replica that it is slow now, and not that it takes long once it is not.
func TestPaceIsNotLatency(t *testing.T) {
	set, now := pacedSet()
	slow := set.Get("own")
	slow.StartAttempt(now)
	slow.RecordLoad(now+100*millisecond, load(8))
	slow.FinishAttempt(now+100*millisecond, now, replica.Answered)
	now += 100 * millisecond
	if got := picked(set, now); got != "far" {
		t.Errorf("picked %q, the near one is slow", got)
	}
	slow.RecordLoad(now, load(1))
	if got := picked(set, now); got != "own" || slow.AverageLatency() > 20*millisecond {
		t.Errorf("picked %q, expected of the near one: %v", got, slow.AverageLatency())
	}
}

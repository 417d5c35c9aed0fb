package replica_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"stiletrail/internal/replica"
)

const target = 150 * millisecond

// penaltySet returns a set whose penalties are relative to the target latency.
func penaltySet(entries ...replica.Entry) *replica.Set {
	set := newSet(entries...)
	withPenalties := settings
	withPenalties.OtherRegionPenalty, withPenalties.FaultPenalty = 0.3, 2
	set.Reconfigure(withPenalties, replica.Topology{Zone: "a1",
		Regions: map[string]string{"a1": "a", "a2": "a", "b1": "b", "c1": "c"}})
	return set
}

// TestGreyFailureIsAvoided guards against a grey failure: two of three replicas, the one in the own region and one in
// another region, refuse 45% of their requests although slots are free. They refuse quickly and report good health, so
// a choice by latency alone would keep sending everything to the replica of the own region. At one request in half a
// second, a node's share of a service with many back ends, the healthy replica must get most requests within nine
// seconds, the length of such a failure. Once all are healthy again, the replica of the own region must get most
// requests.
func TestGreyFailureIsAvoided(t *testing.T) {
	set := penaltySet(entry("near", "a1"), entry("sound", "b1"), entry("faulty", "c1"))
	for id, took := range map[string]time.Duration{"near": 12, "sound": 36, "faulty": 36} {
		runAttempt(set, 0, id, took*millisecond, replica.Answered)
	}
	random := rand.New(rand.NewPCG(3, 3))
	got := map[string]int{}
	failed, now := 0, time.Second
	send := func(faulty bool) {
		chosen, _ := set.Pick(now, "s", replica.PickOptions{TargetLatency: target})
		got[chosen.ID]++
		if faulty && chosen.ID != "sound" && random.Float64() < 0.45 {
			failed++
			runAttempt(set, now, chosen.ID, 3*millisecond, replica.RefusedWithFreeSlots)
		} else {
			runAttempt(set, now, chosen.ID, max(chosen.AverageLatency(), 12*millisecond), replica.Answered)
		}
		now += 500 * millisecond
	}
	for range 18 {
		send(true)
	}
	if got["sound"] < 10 || failed > 4 {
		t.Errorf("18 requests went to %v, %d failed; want at least 10 to the sound replica and at most 4 failed",
			got, failed)
	}
	now += 6 * time.Second
	clear(got)
	for range 20 {
		send(false)
	}
	if got["near"] < 15 {
		t.Errorf("20 requests after the failure went to %v, want at least 15 to the near replica", got)
	}
}

// TestFullReplicaIsNotFaulty guards against counting overload as a fault: only a refusal by a replica that reports free
// slots raises its fault rate.
func TestFullReplicaIsNotFaulty(t *testing.T) {
	set := penaltySet(entry("near", "a1"))
	for range 5 {
		runAttempt(set, 0, "near", 3*millisecond, replica.Refused)
	}
	if _, faults := set.Get("near").Health(0); faults != 0 {
		t.Errorf("fault rate of a full replica: %v, want 0", faults)
	}
	runAttempt(set, 0, "near", 3*millisecond, replica.RefusedWithFreeSlots)
	if _, faults := set.Get("near").Health(3 * millisecond); faults < 0.25 {
		t.Errorf("fault rate after a refusal with free slots: %v, want at least 0.25", faults)
	}
}

// TestDistancePenaltyScalesWithTarget checks that the penalty of another region depends on the target latency: a slow
// replica of the own region loses to a replica of another region if the target is short, and is kept if the target is
// long.
func TestDistancePenaltyScalesWithTarget(t *testing.T) {
	set := penaltySet(entry("near", "a1"), entry("far", "b1"))
	runAttempt(set, 0, "near", 95*millisecond, replica.Answered)
	now := runAttempt(set, 0, "far", 35*millisecond, replica.Answered)
	for targetLatency, want := range map[time.Duration]string{100 * millisecond: "far", 400 * millisecond: "near"} {
		if chosen, _ := set.Pick(now, "s", replica.PickOptions{TargetLatency: targetLatency}); chosen.ID != want {
			t.Errorf("picked %q with a target of %v, want \"far\" at 100ms, \"near\" at 400ms", chosen.ID, targetLatency)
		}
	}
}

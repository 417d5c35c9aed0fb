package replica_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"stiletrail/internal/replica"
)

const target = 150 * millisecond

// pricedSet goes by prices that are shares of the target.
func pricedSet(entries ...replica.Entry) *replica.Set {
	set := newSet(entries...)
	priced := settings
	priced.OtherRegionPenalty, priced.FaultPenalty = 0.3, 2
	set.Reconfigure(priced, replica.Topology{Zone: "a1", Regions: map[string]string{"a1": "a", "a2": "a", "b1": "b", "c1": "c"}})
	return set
}

// TestGreyFailureIsLeft: the pattern is a grey failure: of three replicas the near one and one far refuse 45% of what they get though slots are free, quickly and
// with their health good. At one request in half a second, a node's share of a wide service, the sound one gets most of what is sent in the nine seconds that
// such a failure lasts; once all are sound again the near one does. By latency alone the near one went on to get all.
func TestGreyFailureIsLeft(t *testing.T) {
	set := pricedSet(entry("near", "a1"), entry("sound", "b1"), entry("faulty", "c1"))
	for id, took := range map[string]time.Duration{"near": 12, "sound": 36, "faulty": 36} {
		run(set, 0, id, took*millisecond, replica.Answered)
	}
	random := rand.New(rand.NewPCG(3, 3))
	got := map[string]int{}
	failed, now := 0, time.Second
	send := func(faulty bool) {
		chosen, _ := set.Pick(now, "s", replica.PickOptions{TargetLatency: target})
		got[chosen.ID]++
		if faulty && chosen.ID != "sound" && random.Float64() < 0.45 {
			failed++
			run(set, now, chosen.ID, 3*millisecond, replica.RefusedWithFreeSlots)
		} else {
			run(set, now, chosen.ID, max(chosen.AverageLatency(), 12*millisecond), replica.Answered)
		}
		now += 500 * millisecond
	}
	for range 18 {
		send(true)
	}
	if got["sound"] < 10 || failed > 4 {
		t.Errorf("of 18 requests %v, %d failed", got, failed)
	}
	now += 6 * time.Second
	clear(got)
	for range 20 {
		send(false)
	}
	if got["near"] < 15 {
		t.Errorf("of 20 requests after the failure %v", got)
	}
}

// TestFullIsNoFault: a replica that refuses since it is full is slower by what it is asked, and not faulty.
func TestFullIsNoFault(t *testing.T) {
	set := pricedSet(entry("near", "a1"))
	for range 5 {
		run(set, 0, "near", 3*millisecond, replica.Refused)
	}
	if _, faults := set.Get("near").Health(0); faults != 0 {
		t.Errorf("%v of the attempts at a full replica count as failed", faults)
	}
	run(set, 0, "near", 3*millisecond, replica.RefusedWithFreeSlots)
	if _, faults := set.Get("near").Health(3 * millisecond); faults < 0.25 {
		t.Errorf("%v of the attempts at a replica with room count as failed", faults)
	}
}

// TestDistanceIsPricedByTheTarget: a near replica that is slow is left for a far one where the target is short, and kept where it is long.
func TestDistanceIsPricedByTheTarget(t *testing.T) {
	set := pricedSet(entry("near", "a1"), entry("far", "b1"))
	run(set, 0, "near", 95*millisecond, replica.Answered)
	now := run(set, 0, "far", 35*millisecond, replica.Answered)
	for aim, want := range map[time.Duration]string{100 * millisecond: "far", 400 * millisecond: "near"} {
		if chosen, _ := set.Pick(now, "s", replica.PickOptions{TargetLatency: aim}); chosen.ID != want {
			t.Errorf("picked %q with a target of %v", chosen.ID, aim)
		}
	}
}

package replica_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"stiletrail/internal/clock"
	"stiletrail/internal/region"
	"stiletrail/internal/replica"
)

// coldFleet returns the names of some nodes and a set for each. All sets hold the same cold back end in their zone and
// a warm one in another region.
func coldFleet(nodes int, rate float64, cold time.Duration) (names []string, sets []*replica.Set) {
	for i := range nodes {
		names = append(names, fmt.Sprint("node-", i))
	}
	for i := range nodes {
		places := replica.Topology{Node: names[i], Zone: "a1", Regions: map[string]string{"a1": "a", "b1": "b"}}
		set := replica.NewSet(settings, places, rand.New(rand.NewPCG(uint64(i), 2)))
		set.SetWarmups(map[string]replica.Warmup{"s": {Duration: clock.FromDuration(cold), Rate: rate}})
		set.SetNodes(names[i], names)
		set.Put(0, replica.Entry{ID: "cold", Service: "s", Address: "127.0.0.1:1", Zone: "a1", WarmupLeft: cold})
		set.Put(0, entry("warm", "b1"))
		sets = append(sets, set)
	}
	return names, sets
}

// runNodes makes each node pick a replica at regular intervals, starting at two seconds, and returns the times of the
// attempts at the cold back end.
func runNodes(sets []*replica.Set, every, until time.Duration) (arrivals []time.Duration) {
	for now := 2 * time.Second; now < until; now += every {
		for _, set := range sets {
			chosen, _ := set.Pick(now, "s", replica.PickOptions{})
			if chosen == nil {
				continue
			}
			chosen.StartAttempt(now)
			chosen.FinishAttempt(now+millisecond, now, replica.Answered)
			if chosen.ID == "cold" {
				arrivals = append(arrivals, now)
			}
		}
	}
	return arrivals
}

// maximumPerSecond returns the largest number of arrivals within one second; the arrivals are in order.
func maximumPerSecond(arrivals []time.Duration) (most int) {
	for i := range arrivals {
		count := 0
		for _, at := range arrivals[i:] {
			if at-arrivals[i] < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// TestColdBackEndRateLimit guards against overloading a back end that has just started. All nodes together send a cold
// back end no more requests in any second than its rate allows, however many nodes there are and however many requests
// they have. The nodes must use a good part of that rate.
func TestColdBackEndRateLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes := rapid.IntRange(1, 120).Draw(rt, "nodes")
		rate := rapid.Float64Range(1, 60).Draw(rt, "rate")
		every := time.Duration(rapid.IntRange(5, 200).Draw(rt, "milliseconds between requests")) * millisecond
		const cold = 5 * time.Second
		_, sets := coldFleet(nodes, rate, cold)
		arrivals := runNodes(sets, every, cold-millisecond)
		if most := maximumPerSecond(arrivals); float64(most) > rate {
			rt.Fatalf("a cold back end got %d requests in one second, limit %v", most, rate)
		}
		demand := float64(nodes) / every.Seconds()
		if most := maximumPerSecond(arrivals); demand > 2*rate && nodes > 1 && float64(most) < rate/2-1 {
			rt.Fatalf("a cold back end got %d requests in its busiest second; limit %v, demand %v per second",
				most, rate, demand)
		}
	})
}

// TestColdBackEndRateWithDivergingNodeLists checks that nodes whose lists lack some of the other nodes exceed the rate
// of a cold back end by at most half of it plus five requests per second.
func TestColdBackEndRateWithDivergingNodeLists(t *testing.T) {
	const nodes, rate, cold = 60, 20.0, 6 * time.Second
	names, sets := coldFleet(nodes, rate, cold)
	random := rand.New(rand.NewPCG(5, 5))
	for i, set := range sets {
		known := []string{names[i]}
		for j, name := range names {
			if j != i && random.Float64() < 0.75 {
				known = append(known, name)
			}
		}
		set.SetNodes(names[i], known)
	}
	if most := maximumPerSecond(runNodes(sets, 40*millisecond, cold-millisecond)); float64(most) > 1.5*rate+5 {
		t.Errorf("a cold back end got %d requests in one second; limit %v, tolerated half more and 5", most, rate)
	}
}

// TestColdBackEndAndStartingNodes checks that two kinds of nodes send nothing to a cold back end with a rate limit: a
// node that does not know the others, and a node that has just started, whose previous process may have used up the
// quota.
func TestColdBackEndAndStartingNodes(t *testing.T) {
	_, sets := coldFleet(3, 10, 10*time.Second)
	alone := sets[0]
	alone.SetNodes("node-0", nil)
	for _, now := range []time.Duration{0, 500 * millisecond, 3 * time.Second} {
		if got := picked(alone, now); got != "warm" {
			t.Errorf("a node that knows no other node picks %q at %v, want \"warm\"", got, now)
		}
	}
	if got := picked(sets[1], 500*millisecond); got != "warm" {
		t.Errorf("a node picks %q half a second after its start, want \"warm\"", got)
	}
	if got := picked(sets[1], 3*time.Second); got != "cold" {
		t.Errorf("a node picks %q three seconds after its start, want \"cold\"", got)
	}
}

// TestUnlimitedColdBackEnd checks that a cold back end without a rate limit is not held back: it is only expected to be
// slower.
func TestUnlimitedColdBackEnd(t *testing.T) {
	_, sets := coldFleet(1, 0, 10*time.Second)
	if arrivals := runNodes(sets, 10*millisecond, 4*time.Second); len(arrivals) != 200 {
		t.Errorf("%d of 200 requests went to the cold back end in the own zone, want all", len(arrivals))
	}
}

// TestRestoredZoneIsCold checks that back ends are cold after the evacuation of their zone ends, since they got no
// requests meanwhile. An entry that states that a back end is warm overrides this.
func TestRestoredZoneIsCold(t *testing.T) {
	set := newSet(entry("own", "a1"), entry("far", "b1"))
	set.SetWarmups(map[string]replica.Warmup{"s": {Duration: 3 * clock.Second, Rate: 1}})
	set.SetNodes("self", []string{"self"})
	now := 10 * time.Second
	if !set.EvacuateZone("a1") || set.EvacuateZone("a1") || set.EvacuatedZones() != 1 {
		t.Error("want EvacuateZone to report a change once, and one evacuated zone")
	}
	set.Put(now, entry("late", "a1"))
	if got := picked(set, now); got != "far" {
		t.Errorf("picked %q while the own zone is evacuated, want \"far\"", got)
	}
	if set.HasCandidate("s", region.NewSet("a")) || !set.HasCandidate("s", region.NewSet("b")) {
		t.Error("want candidates in region b alone, since the zone of region a is evacuated")
	}
	if !set.RestoreZone(now, "a1") || set.RestoreZone(now, "a1") {
		t.Error("want RestoreZone to report a change once")
	}
	if !set.Get("own").Cold(now+2*time.Second) || set.Get("own").Cold(now+4*time.Second) {
		t.Error("want back ends cold for three seconds after the evacuation")
	}
	first := set.Get("own")
	first.StartAttempt(now)
	set.Get("late").StartAttempt(now)
	if got := picked(set, now+100*millisecond); got != "far" {
		t.Errorf("picked %q, want \"far\": the quota of the cold back ends is used up", got)
	}
	set.Put(now, entry("own", "a1"))
	if set.Get("own").Cold(now) {
		t.Error("a back end is cold although its entry states that it is warm")
	}
}

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

// coldFleet is some nodes that each have a set with the same cold back ends and other good ones.
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

// drive has each node ask as often as the request rate says from the second second on, and returns the attempts at the cold back end.
func drive(sets []*replica.Set, every, until time.Duration) (arrivals []time.Duration) {
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

// mostWithin a second of the arrivals, which are in order.
func mostWithin(arrivals []time.Duration) (most int) {
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

// TestColdBackEndsGetNoMoreThanTheyBear: over all nodes a cold back end gets no more requests in any second than it bears, however many nodes there are and
// however much they ask; a good part of that is used; and once it is warm it gets all.
func TestColdBackEndsGetNoMoreThanTheyBear(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes := rapid.IntRange(1, 120).Draw(rt, "nodes")
		rate := rapid.Float64Range(1, 60).Draw(rt, "rate")
		every := time.Duration(rapid.IntRange(5, 200).Draw(rt, "milliseconds between requests")) * millisecond
		const cold = 5 * time.Second
		_, sets := coldFleet(nodes, rate, cold)
		arrivals := drive(sets, every, cold-millisecond)
		if most := mostWithin(arrivals); float64(most) > rate {
			rt.Fatalf("%d requests in a second, a cold back end bears %v", most, rate)
		}
		asked := float64(nodes) / every.Seconds()
		if most := mostWithin(arrivals); asked > 2*rate && nodes > 1 && float64(most) < rate/2-1 {
			rt.Fatalf("%d requests in the busiest second, %v are borne and %v were asked", most, rate, asked)
		}
	})
}

// TestColdBackEndAndWrongMembership: nodes whose lists lack some of the others keep what all send within half more than a cold back end bears, and a little.
func TestColdBackEndAndWrongMembership(t *testing.T) {
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
	if most := mostWithin(drive(sets, 40*millisecond, cold-millisecond)); float64(most) > 1.5*rate+5 {
		t.Errorf("%d requests in a second, a cold back end bears %v", most, rate)
	}
}

// TestColdBackEndAndNodesThatStart: a node that does not know the others, and one that has just started, whose earlier life may have sent its part, send
// nothing to a cold back end that bears little.
func TestColdBackEndAndNodesThatStart(t *testing.T) {
	_, sets := coldFleet(3, 10, 10*time.Second)
	alone := sets[0]
	alone.SetNodes("node-0", nil)
	for _, now := range []time.Duration{0, 500 * millisecond, 3 * time.Second} {
		if got := picked(alone, now); got != "warm" {
			t.Errorf("a node that knows nobody picks %q at %v", got, now)
		}
	}
	if got := picked(sets[1], 500*millisecond); got != "warm" {
		t.Errorf("a node picks %q half a second after its start", got)
	}
	if got := picked(sets[1], 3*time.Second); got != "cold" {
		t.Errorf("a node picks %q three seconds after its start", got)
	}
}

// TestNoBoundOnColdBackEnds: where none is told a cold back end is just expected to be slower.
func TestNoBoundOnColdBackEnds(t *testing.T) {
	_, sets := coldFleet(1, 0, 10*time.Second)
	if arrivals := drive(sets, 10*millisecond, 4*time.Second); len(arrivals) != 200 {
		t.Errorf("%d of 200 requests went to the near back end", len(arrivals))
	}
}

// TestZoneTakenBackIsCold: back ends of a zone that was evacuated come back as cold ones, which bear little, unless their entries say later that they are warm.
func TestZoneTakenBackIsCold(t *testing.T) {
	set := newSet(entry("own", "a1"), entry("far", "b1"))
	set.SetWarmups(map[string]replica.Warmup{"s": {Duration: 3 * clock.Second, Rate: 1}})
	set.SetNodes("self", []string{"self"})
	now := 10 * time.Second
	if !set.EvacuateZone("a1") || set.EvacuateZone("a1") || set.EvacuatedZones() != 1 {
		t.Error("an evacuation is news once")
	}
	set.Put(now, entry("late", "a1"))
	if got := picked(set, now); got != "far" {
		t.Errorf("picked %q while the zone is evacuated", got)
	}
	if set.HasCandidate("s", region.NewSet("a")) || !set.HasCandidate("s", region.NewSet("b")) {
		t.Error("the back ends of an evacuated zone count as known")
	}
	if !set.RestoreZone(now, "a1") || set.RestoreZone(now, "a1") {
		t.Error("the end of an evacuation is news once")
	}
	if !set.Get("own").Cold(now+2*time.Second) || set.Get("own").Cold(now+4*time.Second) {
		t.Error("back ends are cold for three seconds after the zone was taken back")
	}
	first := set.Get("own")
	first.StartAttempt(now)
	set.Get("late").StartAttempt(now)
	if got := picked(set, now+100*millisecond); got != "far" {
		t.Errorf("picked %q, the cold ones have what they bear", got)
	}
	set.Put(now, entry("own", "a1"))
	if set.Get("own").Cold(now) {
		t.Error("an entry that tells of a warm back end is not believed")
	}
}

package replica_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"stiletrail/internal/clock"
	"stiletrail/internal/region"
	"stiletrail/internal/replica"
)

// TestPicksAreUnchanged guards against unintended changes of the picking rule: it runs a long random history on a set
// and compares a hash of all results with a stored one. A change that is meant to leave the choice as it is must leave
// the hashes as they are. A change that is not meant to do so replaces them and states why.
func TestPicksAreUnchanged(t *testing.T) {
	for seed, want := range []uint64{0x52a811eeaf462f18, 0xcbdd04bbc72506a0, 0x21700929de7a07b8, 0x5a51d291be112cce} {
		if got := hashHistory(uint64(seed)); got != want {
			t.Errorf("seed %d: hash %#x, want %#x", seed, got, want)
		}
	}
}

// hashHistory runs a random history on a set and returns the hash of all its results.
func hashHistory(seed uint64) uint64 {
	random := rand.New(rand.NewPCG(seed, 9))
	set := replica.NewSet(traceSettings(random), traceTopology, rand.New(rand.NewPCG(seed, 10)))
	set.SetWarmups(map[string]replica.Warmup{"s": {Duration: 3 * clock.Second, Rate: 12.5}})
	sum := fnv.New64a()
	note := func(values ...any) { _, _ = fmt.Fprintln(sum, values...) }
	var running []started
	now, distrustedUntil := time.Duration(0), time.Duration(0)
	for step := range 20_000 {
		now += time.Duration(random.IntN(int(40 * millisecond)))
		id := fmt.Sprint("back-end-", random.IntN(12))
		switch what := random.IntN(100); {
		case what < 40:
			chosen, busy := set.Pick(now, "s", traceChoice(random, set, id))
			note("pick", idOf(chosen), busy)
			if chosen != nil {
				chosen.StartAttempt(now)
				running = append(running, started{chosen, now})
			}
		case what < 75 && len(running) > 0:
			i := random.IntN(len(running))
			ending := running[i]
			running = append(running[:i], running[i+1:]...)
			if random.IntN(2) == 0 {
				ending.at.RecordLoad(now, replica.Load{Reported: true, Running: random.IntN(5),
					Waiting: random.IntN(2), Slots: 4, Slowdown: 0.5 + 3*random.Float64()})
			}
			result := replica.Answered
			if random.IntN(4) == 0 {
				result = replica.AttemptResult(random.IntN(int(replica.Neutral) + 1))
			}
			if result == replica.Misdirected && random.IntN(10) > 0 {
				result = replica.Failed
			}
			note("finish", result, ending.at.FinishAttempt(now, ending.when, result))
		case what < 80:
			if now < distrustedUntil {
				// Several entries that are held back would be readmitted in the random order of a map.
				id = "back-end-0"
			}
			entry := traceEntry(random, id)
			note("put", set.Put(now, entry))
		case what < 82:
			until := now
			if random.IntN(2) == 0 && !anyDoubtful(set) {
				until = now + time.Second + time.Duration(step)
			}
			note("remove", set.Remove(now, id, until))
		case what < 84:
			note("expire", set.ExpireDoubtful(now))
		case what < 88 && set.Get(id) != nil:
			set.RecordReport(now, set.Get(id).Key(), 1+4*random.Float64(), random.Float64(),
				now-time.Duration(random.IntN(int(time.Second))))
		case what < 90:
			traceZones(random, now, set, note)
		case what < 91 && step%5 == 0:
			distrustedUntil = now + 2*time.Second
			set.DistrustDeparted(distrustedUntil)
		case what < 91:
			traceNodes(random, set)
		case what < 92 && step%7 == 0:
			set.Reconfigure(traceSettings(random), traceTopology)
		case set.Get(id) != nil:
			r := set.Get(id)
			slowdown, faults := r.Health(now)
			note(r.AverageLatency(), r.MinimumLatency(), r.ExpectedMinimum(now), r.ExpectedLatency(now),
				r.InFlight(), r.Ejected(now), r.Doubtful(), r.Cold(now), r.Evacuated(), slowdown, faults)
			note(set.MustVerify(now, r), set.IdleLimit(r))
			at, known := set.EarliestRecovery("s", replica.PickOptions{})
			note(at, known, set.HasCandidate("s", region.NewSet("b")), set.Versions("s", region.Set{}), set.Len(),
				set.RandomFloat64())
		}
	}
	return sum.Sum64()
}

// started is an attempt in flight.
type started struct {
	at   *replica.Replica
	when time.Duration
}

var traceTopology = replica.Topology{
	Node: "node-0", Zone: "a1", Regions: map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b", "c1": "c"},
}

func traceSettings(random *rand.Rand) replica.Settings {
	often := func() bool { return random.IntN(4) > 0 }
	return replica.Settings{
		Connections: 1 + random.IntN(4), OtherRegionPenalty: random.Float64(), FaultPenalty: 3 * random.Float64(),
		UseSlowdown: often(),
		SubsetSize:  random.IntN(3), LimitIdle: often(), Ejection: often(), CancelledFactor: 1 + random.Float64(),
		VerifyConnections: often(),
	}
}

func traceEntry(random *rand.Rand, id string) replica.Entry {
	zones := []string{"a1", "a2", "b1", "b2", "c1", "unknown"}
	entry := replica.Entry{ID: id, Service: "s", Address: "127.0.0.1:1", Zone: zones[random.IntN(len(zones))], Slots: 4}
	entry.Version = fmt.Sprint("v", random.IntN(3))
	entry.Draining = random.IntN(20) == 0
	if random.IntN(3) == 0 {
		entry.WarmupLeft = time.Duration(random.IntN(int(3 * time.Second)))
	}
	if random.IntN(20) == 0 {
		entry.Service = "other"
	}
	return entry
}

func traceChoice(random *rand.Rand, set *replica.Set, id string) replica.PickOptions {
	choice := replica.PickOptions{TargetLatency: time.Duration(random.IntN(4)) * 100 * millisecond}
	switch known := set.Get(id); {
	case random.IntN(3) > 0:
	case known != nil && random.IntN(2) == 0:
		choice.Excluded = []*replica.Replica{known}
	case known != nil && random.IntN(2) == 0:
		choice.Only = []*replica.Replica{known}
	case random.IntN(2) == 0:
		choice.Versions = []string{"v0", "v1"}
	default:
		choice.Regions = region.NewSet("a", "c")
	}
	return choice
}

// anyDoubtful reports whether any replica is doubtful. Several doubtful replicas would expire in the random order of a
// map.
func anyDoubtful(set *replica.Set) (found bool) {
	set.ForEach(func(r *replica.Replica) { found = found || r.Doubtful() })
	return found
}

// traceZones evacuates a zone, ends an evacuation, or readmits entries that were held back.
func traceZones(random *rand.Rand, now time.Duration, set *replica.Set, note func(...any)) {
	zone := []string{"a2", "b2", "c1"}[random.IntN(3)]
	switch random.IntN(5) {
	case 0:
		note("evacuate", set.EvacuateZone(zone))
	case 1, 2, 3:
		note("take back", set.RestoreZone(now, zone), set.EvacuatedZones())
	default:
		readmitted := set.ReadmitDeparted(now)
		note("readmit", len(readmitted))
	}
}

// traceNodes changes the list of nodes and this node's share of connections.
func traceNodes(random *rand.Rand, set *replica.Set) {
	var nodes []string
	for i := range random.IntN(20) {
		nodes = append(nodes, fmt.Sprint("node-", i))
	}
	set.SetNodes("node-0", nodes)
	set.SetManyNodesStarting(random.IntN(3) == 0)
	share := replica.NewConnectionShare(1+random.IntN(80), 1+random.IntN(40), 1+random.IntN(10), 8)
	set.SetConnectionShares(map[string]replica.ConnectionShare{"s": share})
}

func idOf(r *replica.Replica) string {
	if r == nil {
		return ""
	}
	return r.ID
}

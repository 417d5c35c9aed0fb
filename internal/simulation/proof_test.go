package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"stiletrail/internal/query"
)

// proofWorld is a configured small world with searches going on.
func proofWorld(t *testing.T, seed uint64, searches float64, length time.Duration, change ...func(*Options)) *World {
	t.Helper()
	options := SmallOptions(seed)
	for _, apply := range change {
		apply(&options)
	}
	w := New(options)
	w.configureAll()
	w.startSearches(searches, w.now+length)
	return w
}

func noViolations(t *testing.T, w *World) {
	t.Helper()
	w.Check.Unanswered(6 * time.Second)
	for i, violation := range w.Check.Violations {
		if i == 3 {
			t.Errorf("and %d more", len(w.Check.Violations)-i)
			break
		}
		t.Error(violation)
	}
	t.Logf("steps %d, searches %d, complete %d, partial %d, refused %d, failed %d, missing %v", w.Steps, w.Check.Searches,
		w.Check.Complete, w.Check.Partial, w.Check.Refusals, w.Check.Failures, w.Check.Reasons)
}

func forSeeds(t *testing.T, count uint64, run func(t *testing.T, seed uint64)) {
	t.Helper()
	for seed := range count {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			t.Parallel()
			run(t, seed+1)
		})
	}
}

// TestSameSeedSameTrace: a seed decides everything.
func TestSameSeedSameTrace(t *testing.T) {
	for _, seed := range []uint64{3, 17} {
		first, second := RunSchedule(DrawSchedule(seed)), RunSchedule(DrawSchedule(seed))
		if first.Trace != second.Trace || first.Steps != second.Steps {
			t.Errorf("seed %d: traces %x and %x, steps %d and %d", seed, first.Trace, second.Trace, first.Steps, second.Steps)
		}
	}
}

// TestOneSnapshot: versions change and shards move while searches run.
func TestOneSnapshot(t *testing.T) {
	forSeeds(t, 4, func(t *testing.T, seed uint64) {
		w := proofWorld(t, seed, 100, 20*time.Second)
		for i := range 60 {
			w.after(time.Duration(i)*300*time.Millisecond, func() { w.publishVersion(w.services["lookup"], 250*time.Millisecond) })
			w.after(time.Duration(i)*300*time.Millisecond, func() { w.publishVersion(w.services["archive"], 250*time.Millisecond) })
		}
		for i := range 4 {
			w.after(time.Duration(2+4*i)*time.Second, func() { w.repartition(w.services["archive"], uint32(9+i), time.Second) })
		}
		w.Run(22 * time.Second)
		noViolations(t, w)
		if w.Check.Complete < w.Check.Searches*7/10 {
			t.Errorf("only %d of %d searches were complete", w.Check.Complete, w.Check.Searches)
		}
	})
}

// TestCoverageIsTrue: all holders of a shard are lost; the answers say so, for as long as nobody holds it.
func TestCoverageIsTrue(t *testing.T) {
	forSeeds(t, 4, func(t *testing.T, seed uint64) {
		w := proofWorld(t, seed, 60, 10*time.Second)
		backEnds := w.services["archive"].backEnds
		w.killBackEnd(backEnds[2])
		w.killBackEnd(backEnds[3])
		lost := uint32(3)
		missing := 0
		w.Answered = func(outcome SearchOutcome) {
			if outcome.Coverage.Total != 8 || outcome.Failure != nil {
				return
			}
			if outcome.Coverage.Complete() {
				t.Errorf("a search was complete without shard %d", lost)
			}
			if slices.ContainsFunc(outcome.Coverage.Missing, func(m query.Missing) bool { return m.Shard == lost }) {
				missing++
			}
		}
		w.Run(time.Second)
		// Fresh nodes must not forget the shard either.
		n := w.nodes[w.live[0]]
		w.kill(n)
		w.startNode(n.zone)
		w.Run(10 * time.Second)
		noViolations(t, w)
		if missing == 0 {
			t.Error("no answer named the lost shard")
		}
	})
}

// TestStragglersAndHedges: hedges and originals both answer; nothing is doubled, and coverage is kept.
func TestStragglersAndHedges(t *testing.T) {
	forSeeds(t, 4, func(t *testing.T, seed uint64) {
		w := proofWorld(t, seed, 60, 15*time.Second)
		for _, service := range w.services {
			for _, b := range service.backEnds {
				b.model.Latency.StragglerChance = 0.05
				b.model.Latency.StragglerFactor = 12
			}
		}
		w.Run(16 * time.Second)
		noViolations(t, w)
		hedges, won := w.hedges()
		t.Logf("hedges %d, won %d", hedges, won)
		if won == 0 || w.Check.Complete < w.Check.Searches*98/100 {
			t.Errorf("hedges won %d, complete %d of %d", won, w.Check.Complete, w.Check.Searches)
		}
	})
}

func (w *World) hedges() (sent, won uint64) {
	for _, address := range w.live {
		counters := w.nodes[address].engine.DispatchCounters()
		sent += counters.Hedges
		won += counters.HedgesWon
	}
	return sent, won
}

// TestBrokenAnswersAreDropped: answers at another snapshot, with missing or crossed shards.
func TestBrokenAnswersAreDropped(t *testing.T) {
	forSeeds(t, 4, func(t *testing.T, seed uint64) {
		w := proofWorld(t, seed, 60, 10*time.Second)
		for _, service := range w.services {
			for i, b := range service.backEnds {
				if i%2 == 0 {
					b.model.Corrupt = 0.5
				}
			}
		}
		w.Run(11 * time.Second)
		noViolations(t, w)
		var invalid uint64
		for _, address := range w.live {
			counters := w.nodes[address].engine.DispatchCounters()
			invalid += counters.InvalidAnswers + counters.WrongSnapshot
		}
		if invalid == 0 {
			t.Error("no broken answer was noticed")
		}
	})
}

// TestNotRunIsTrue: overload, freezes and lost frames; what is refused as not run never runs.
func TestNotRunIsTrue(t *testing.T) {
	forSeeds(t, 6, func(t *testing.T, seed uint64) {
		w := proofWorld(t, seed, 1500, 6*time.Second)
		w.Chances = Chances{Lost: 0.01, Doubled: 0.05, Late: 0.05, LateBy: 300 * time.Millisecond}
		for i := range 6 {
			w.after(time.Duration(i)*time.Second, func() { w.freeze(w.liveNode(), 700*time.Millisecond) })
		}
		w.Run(8 * time.Second)
		noViolations(t, w)
		if w.Check.Refusals == 0 {
			t.Error("nothing was refused")
		}
	})
}

// TestAtMostOnce: requests that are not repeatable, resent by callers, with nodes and back ends lost and frozen in between.
func TestAtMostOnce(t *testing.T) {
	forSeeds(t, 8, func(t *testing.T, seed uint64) {
		w := proofWorld(t, seed, 20, 20*time.Second)
		w.Chances = Chances{Lost: 0.02, Doubled: 0.1, Late: 0.1, LateBy: 500 * time.Millisecond}
		for i := range 300 {
			w.after(time.Duration(i)*50*time.Millisecond, func() { w.startExecution("lookup", i) })
		}
		for i := range 8 {
			w.after(time.Duration(2*i)*time.Second, func() { w.strike(Fault{Kind: ReplaceNode, Pick: i * 3, Length: 2 * time.Second}) })
			w.after(time.Duration(2*i+1)*time.Second, func() { w.freeze(w.liveNode(), 900*time.Millisecond) })
		}
		w.after(6*time.Second, func() { w.killBackEnd(w.services["lookup"].backEnds[1]) })
		w.after(9*time.Second, func() { w.reviveBackEnd(w.services["lookup"].backEnds[1]) })
		w.Run(22 * time.Second)
		noViolations(t, w)
		t.Logf("executions answered %d, unknown %d", w.Check.Executions, w.Check.Unknown)
		if w.Check.Executions < 300 {
			t.Errorf("only %d executions were answered", w.Check.Executions)
		}
	})
}

// TestDrainingBackEnd gets no new work, whether its health says so, lies, or the machine list lags.
func TestDrainingBackEnd(t *testing.T) {
	for _, lies := range []bool{false, true} {
		forSeeds(t, 3, func(t *testing.T, seed uint64) {
			w := proofWorld(t, seed, 80, 15*time.Second)
			b := w.services["archive"].backEnds[4]
			w.drain(b, lies)
			w.Run(16 * time.Second)
			noViolations(t, w)
			t.Logf("work that came while leaving: %d", b.model.DrainedWork)
			if w.Check.BlindDrains > 0 || w.Check.Complete != w.Check.Searches {
				t.Errorf("blind %d, complete %d of %d", w.Check.BlindDrains, w.Check.Complete, w.Check.Searches)
			}
		})
	}
}

// TestPlannedStops: all first nodes of the zones stop, two at once, while new ones come; nothing in flight is cut.
func TestPlannedStops(t *testing.T) {
	forSeeds(t, 8, func(t *testing.T, seed uint64) {
		w := proofWorld(t, seed, 150, 30*time.Second)
		w.Check.PlannedStopsOnly = true
		leaving := slices.Clone(w.live)
		for i, address := range leaving {
			w.after(time.Duration(i/2)*6*time.Second+2*time.Second, func() { w.leave(w.nodes[address]) })
			w.after(time.Duration(i/2)*6*time.Second, func() { w.startNode(w.nodes[address].zone) })
		}
		for i := range 100 {
			w.after(time.Duration(i)*200*time.Millisecond, func() { w.startExecution("lookup", i) })
		}
		w.Run(32 * time.Second)
		noViolations(t, w)
		for _, address := range leaving {
			if !w.nodes[address].dead {
				t.Errorf("node %s has not stopped", address)
			}
		}
	})
}

// TestOperatorsRace: of the plans on one base exactly one wins.
func TestOperatorsRace(t *testing.T) {
	forSeeds(t, 6, func(t *testing.T, seed uint64) {
		w := proofWorld(t, seed, 5, 10*time.Second)
		w.Chances = Chances{StoreAnswerLost: 0.4, StoreLate: 0.2, Late: 0.1, LateBy: 300 * time.Millisecond}
		for i := range 20 {
			w.after(time.Duration(i)*500*time.Millisecond, func() { w.strike(Fault{Kind: RaceOperators, Pick: 2*i + 1, Length: time.Second}) })
		}
		w.Run(40 * time.Second)
		w.Check.InForce()
		noViolations(t, w)
		t.Logf("accepted %d, conflicts %d", w.Check.Accepted, w.Check.Conflicts)
		if w.Check.Conflicts == 0 || w.Check.Accepted < 10 {
			t.Errorf("accepted %d, conflicts %d", w.Check.Accepted, w.Check.Conflicts)
		}
	})
}

// TestStoreDownForAnHour: nodes serve, restart and join without the store, and nothing reverts.
func TestStoreDownForAnHour(t *testing.T) {
	w := proofWorld(t, 1, 1, time.Hour)
	w.storeDown = true
	for i := range 6 {
		w.after(time.Duration(5+8*i)*time.Minute, func() { w.strike(Fault{Kind: ReplaceNode, Pick: 2 * i, Length: 20 * time.Second}) })
	}
	w.Run(time.Hour)
	for _, address := range w.live {
		n := w.nodes[address]
		if age, known := n.engine.Age(w.now); !n.engine.Ready() || (known && age < 50*time.Minute) {
			t.Errorf("node %s: ready %t, configuration age %s", address, n.engine.Ready(), age)
		}
	}
	w.storeDown = false
	w.Run(15 * time.Second)
	w.Check.InForce()
	noViolations(t, w)
	for _, address := range w.live {
		if age, known := w.nodes[address].engine.Age(w.now); !known || age > 15*time.Second {
			t.Errorf("node %s: configuration age %s after the store came back", address, age)
		}
	}
	if w.Check.Complete < w.Check.Searches*99/100 {
		t.Errorf("complete %d of %d", w.Check.Complete, w.Check.Searches)
	}
}

// TestZoneIsolatedForAnHour keeps serving what it reaches, and has what was accepted elsewhere soon after it rejoins.
func TestZoneIsolatedForAnHour(t *testing.T) {
	w := proofWorld(t, 2, 2, time.Hour)
	w.isolated["zone-c"] = true
	var inside, insideAnswered int
	w.Answered = func(outcome SearchOutcome) {
		inside++
		if outcome.Failure == nil {
			insideAnswered++
		}
	}
	w.Run(30 * time.Minute)
	outside := w.zoneNode("zone-a")
	wanted := w.IntentFor(w.services["lookup"])
	wanted.DeadlineMilliseconds++
	w.Change(outside, wanted, "while-isolated")
	w.Run(30 * time.Minute)
	if version := w.zoneNode("zone-c").engine.Catalog().Version("lookup"); version != 1 {
		t.Errorf("the isolated zone has version %d", version)
	}
	clear(w.isolated)
	rejoined := w.now
	for w.now-rejoined < InForceBound && !w.everywhere("lookup", 2) {
		w.Run(100 * time.Millisecond)
	}
	t.Logf("in force everywhere %s after rejoining; answered %d of %d", w.now-rejoined, insideAnswered, inside)
	if !w.everywhere("lookup", 2) {
		t.Error("the change is not in force everywhere")
	}
	w.Run(10 * time.Second)
	noViolations(t, w)
	if insideAnswered < inside*6/10 {
		t.Errorf("answered %d of %d", insideAnswered, inside)
	}
}

func (w *World) zoneNode(zone string) *simNode {
	for _, address := range w.live {
		if n := w.nodes[address]; n.zone.Name == zone {
			return n
		}
	}
	return nil
}

func (w *World) everywhere(service string, version uint64) bool {
	for _, address := range w.live {
		if w.nodes[address].engine.Catalog().Version(service) < version {
			return false
		}
	}
	return true
}

// TestAcceptedOutlivesNodeAndStore: right after an acceptance the node and the store are lost, and watches had lost the event.
func TestAcceptedOutlivesNodeAndStore(t *testing.T) {
	forSeeds(t, 8, func(t *testing.T, seed uint64) {
		w := proofWorld(t, seed, 5, 30*time.Second)
		w.Chances.EventLost = 1
		n := w.liveNode()
		wanted := w.IntentFor(w.services["lookup"])
		wanted.DeadlineMilliseconds++
		accepted := w.Check.Accepted
		w.Change(n, wanted, "last-words")
		for w.Check.Accepted == accepted {
			w.Run(time.Millisecond)
		}
		w.storeDown = true
		w.kill(n)
		w.Run(20 * time.Second)
		w.Check.InForce()
		noViolations(t, w)
		if !w.everywhere("lookup", 2) {
			t.Error("an accepted change is out of force")
		}
	})
}

// TestFreshNodeDuringOutage joins from peers and is ready with the newest versions.
func TestFreshNodeDuringOutage(t *testing.T) {
	forSeeds(t, 4, func(t *testing.T, seed uint64) {
		w := proofWorld(t, seed, 5, 30*time.Second)
		wanted := w.IntentFor(w.services["lookup"])
		wanted.DeadlineMilliseconds++
		w.Change(w.liveNode(), wanted, "before-outage")
		w.Run(5 * time.Second)
		w.storeDown = true
		fresh := w.startNode(w.options.Zones[0])
		started := w.now
		for !fresh.engine.Ready() && w.now-started < 20*time.Second {
			if version := fresh.engine.Catalog().Version("lookup"); fresh.engine.Ready() && version != 2 {
				t.Errorf("ready with version %d", version)
			}
			w.Run(10 * time.Millisecond)
		}
		t.Logf("ready after %s", w.now-started)
		if !fresh.engine.Ready() || fresh.engine.Catalog().Version("lookup") != 2 {
			t.Errorf("ready %t with version %d", fresh.engine.Ready(), fresh.engine.Catalog().Version("lookup"))
		}
		w.Run(10 * time.Second)
		noViolations(t, w)
	})
}

// TestWatchesLoseEvents and relays freeze: changes are in force in time all the same.
func TestWatchesLoseEvents(t *testing.T) {
	forSeeds(t, 4, func(t *testing.T, seed uint64) {
		w := proofWorld(t, seed, 5, 60*time.Second, func(o *Options) { o.Engine.Gossip.Fanout = 0 })
		w.Chances.EventLost = 1
		for i := range 5 {
			w.after(time.Duration(i)*4*time.Second, func() {
				wanted := w.IntentFor(w.services["lookup"])
				wanted.DeadlineMilliseconds += 10 + i
				w.Change(w.liveNode(), wanted, fmt.Sprintf("lost-event-%d", i))
			})
		}
		w.Run(40 * time.Second)
		w.Check.InForce()
		noViolations(t, w)
	})
}

// TestTimeNeverGoesBack: an engine refuses a time that goes back, which would break every bound.
func TestTimeNeverGoesBack(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("a time that goes back was taken")
		}
	}()
	w := New(SmallOptions(1))
	n := w.nodes[w.live[0]]
	w.Run(time.Second)
	n.engine.Tick(0)
}

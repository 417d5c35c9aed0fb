package simulation

import (
	"fmt"
	"testing"
	"time"
)

// TestOperatorsRace confirms concurrent plans on the same base version while store answers are lost. Exactly one plan of each
// base may be accepted.
func TestOperatorsRace(t *testing.T) {
	runForSeeds(t, 6, func(t *testing.T, seed uint64) {
		w := newConfiguredWorld(t, seed, 5, 10*time.Second)
		w.FaultProbabilities = FaultProbabilities{StoreAnswerLost: 0.4, StoreWriteDelayed: 0.2, MessageDelayed: 0.1, MaximumDelay: 300 * time.Millisecond}
		for i := range 20 {
			w.schedule(time.Duration(i)*500*time.Millisecond, func() { w.injectFault(Fault{Kind: RaceOperators, Selector: 2*i + 1, Length: time.Second}) })
		}
		w.Run(40 * time.Second)
		w.Checker.InForce()
		checkNoViolations(t, w)
		t.Logf("accepted %d, conflicts %d", w.Checker.Accepted, w.Checker.Conflicts)
		if w.Checker.Conflicts == 0 || w.Checker.Accepted < 10 {
			t.Errorf("accepted %d changes, want at least 10; conflicts %d, want at least 1", w.Checker.Accepted, w.Checker.Conflicts)
		}
	})
}

// TestStoreDownForAnHour checks that nodes serve, restart and join without the store, and that no configuration is reverted.
func TestStoreDownForAnHour(t *testing.T) {
	w := newConfiguredWorld(t, 1, 1, time.Hour)
	w.storeDown = true
	for i := range 6 {
		w.schedule(time.Duration(5+8*i)*time.Minute, func() { w.injectFault(Fault{Kind: ReplaceNode, Selector: 2 * i, Length: 20 * time.Second}) })
	}
	w.Run(time.Hour)
	for _, address := range w.live {
		n := w.nodes[address]
		if age, known := n.engine.ConfigurationAge(w.now); !n.engine.Ready() || (known && age < 50*time.Minute) {
			t.Errorf("node %s without the store: ready %t, want true; configuration age %s, want at least 50 min", address, n.engine.Ready(), age)
		}
	}
	w.storeDown = false
	w.Run(15 * time.Second)
	w.Checker.InForce()
	checkNoViolations(t, w)
	for _, address := range w.live {
		if age, known := w.nodes[address].engine.ConfigurationAge(w.now); !known || age > 15*time.Second {
			t.Errorf("node %s: configuration age %s after the store is back, want at most 15 s", address, age)
		}
	}
	if w.Checker.Complete < w.Checker.Searches*99/100 {
		t.Errorf("%d of %d searches were complete, want 99 %%", w.Checker.Complete, w.Checker.Searches)
	}
}

// TestZoneIsolatedForAnHour checks that an isolated zone serves from the back ends that it can reach, and that a change accepted
// elsewhere is in force there within InForceBound after the zone is reconnected.
func TestZoneIsolatedForAnHour(t *testing.T) {
	w := newConfiguredWorld(t, 2, 2, time.Hour)
	w.isolated["zone-c"] = true
	var inside, insideAnswered int
	w.OnSearchAnswered = func(outcome SearchOutcome) {
		inside++
		if outcome.Failure == nil {
			insideAnswered++
		}
	}
	w.Run(30 * time.Minute)
	outside := w.nodeInZone("zone-a")
	wanted := w.IntentFor(w.services["lookup"])
	wanted.DeadlineMilliseconds++
	w.Change(outside, wanted, "while-isolated")
	w.Run(30 * time.Minute)
	if version := w.nodeInZone("zone-c").engine.Catalog().Version("lookup"); version != 1 {
		t.Errorf("the isolated zone has version %d in force, want 1", version)
	}
	clear(w.isolated)
	rejoined := w.now
	for w.now-rejoined < InForceBound && !w.inForceEverywhere("lookup", 2) {
		w.Run(100 * time.Millisecond)
	}
	t.Logf("in force everywhere %s after rejoining; answered %d of %d", w.now-rejoined, insideAnswered, inside)
	if !w.inForceEverywhere("lookup", 2) {
		t.Error("the change made during the isolation is not in force on every node")
	}
	w.Run(10 * time.Second)
	checkNoViolations(t, w)
	if insideAnswered < inside*6/10 {
		t.Errorf("%d of %d searches were answered, want 60 %%", insideAnswered, inside)
	}
}

// TestAcceptedOutlivesNodeAndStore checks that an accepted change reaches all nodes although the accepting node and the store are
// lost right after the acceptance and the watch events of the change were lost.
func TestAcceptedOutlivesNodeAndStore(t *testing.T) {
	runForSeeds(t, 8, func(t *testing.T, seed uint64) {
		w := newConfiguredWorld(t, seed, 5, 30*time.Second)
		w.FaultProbabilities.WatchEventLost = 1
		n := w.liveNode()
		wanted := w.IntentFor(w.services["lookup"])
		wanted.DeadlineMilliseconds++
		accepted := w.Checker.Accepted
		w.Change(n, wanted, "last-words")
		for w.Checker.Accepted == accepted {
			w.Run(time.Millisecond)
		}
		w.storeDown = true
		w.killNode(n)
		w.Run(20 * time.Second)
		w.Checker.InForce()
		checkNoViolations(t, w)
		if !w.inForceEverywhere("lookup", 2) {
			t.Error("an accepted change is not in force on every node")
		}
	})
}

// TestFreshNodeDuringOutage checks that a node that starts while the store is down reads the configuration from its peers and
// becomes ready only with the newest version.
func TestFreshNodeDuringOutage(t *testing.T) {
	runForSeeds(t, 4, func(t *testing.T, seed uint64) {
		w := newConfiguredWorld(t, seed, 5, 30*time.Second)
		wanted := w.IntentFor(w.services["lookup"])
		wanted.DeadlineMilliseconds++
		w.Change(w.liveNode(), wanted, "before-outage")
		w.Run(5 * time.Second)
		w.storeDown = true
		fresh := w.startNode(w.options.Zones[0])
		started := w.now
		for !fresh.engine.Ready() && w.now-started < 20*time.Second {
			if version := fresh.engine.Catalog().Version("lookup"); fresh.engine.Ready() && version != 2 {
				t.Errorf("the new node is ready with version %d, want 2", version)
			}
			w.Run(10 * time.Millisecond)
		}
		t.Logf("ready after %s", w.now-started)
		if !fresh.engine.Ready() || fresh.engine.Catalog().Version("lookup") != 2 {
			t.Errorf("the new node: ready %t, want true; version %d, want 2", fresh.engine.Ready(), fresh.engine.Catalog().Version("lookup"))
		}
		w.Run(10 * time.Second)
		checkNoViolations(t, w)
	})
}

// TestWatchesLoseEvents checks that changes are in force in time although every watch event is lost and nodes do not forward
// changes to each other.
func TestWatchesLoseEvents(t *testing.T) {
	runForSeeds(t, 4, func(t *testing.T, seed uint64) {
		w := newConfiguredWorld(t, seed, 5, 60*time.Second, func(o *Options) { o.Engine.Gossip.Fanout = 0 })
		w.FaultProbabilities.WatchEventLost = 1
		for i := range 5 {
			w.schedule(time.Duration(i)*4*time.Second, func() {
				wanted := w.IntentFor(w.services["lookup"])
				wanted.DeadlineMilliseconds += 10 + i
				w.Change(w.liveNode(), wanted, fmt.Sprintf("lost-event-%d", i))
			})
		}
		w.Run(40 * time.Second)
		w.Checker.InForce()
		checkNoViolations(t, w)
	})
}

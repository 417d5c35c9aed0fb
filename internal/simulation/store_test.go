package simulation

import (
	"fmt"
	"testing"
	"time"
)

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
		if age, known := n.engine.ConfigurationAge(w.now); !n.engine.Ready() || (known && age < 50*time.Minute) {
			t.Errorf("node %s: ready %t, configuration age %s", address, n.engine.Ready(), age)
		}
	}
	w.storeDown = false
	w.Run(15 * time.Second)
	w.Check.InForce()
	noViolations(t, w)
	for _, address := range w.live {
		if age, known := w.nodes[address].engine.ConfigurationAge(w.now); !known || age > 15*time.Second {
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

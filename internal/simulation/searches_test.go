package simulation

import (
	"slices"
	"testing"
	"time"

	"stiletrail/internal/query"
)

// TestOneSnapshot checks that the documents of one answer are all of one snapshot, while index versions change and shards are
// repartitioned during the searches.
func TestOneSnapshot(t *testing.T) {
	runForSeeds(t, 4, func(t *testing.T, seed uint64) {
		w := newConfiguredWorld(t, seed, 100, 20*time.Second)
		for i := range 60 {
			w.schedule(time.Duration(i)*300*time.Millisecond, func() { w.publishVersion(w.services["lookup"], 250*time.Millisecond) })
			w.schedule(time.Duration(i)*300*time.Millisecond, func() { w.publishVersion(w.services["archive"], 250*time.Millisecond) })
		}
		for i := range 4 {
			w.schedule(time.Duration(2+4*i)*time.Second, func() { w.repartition(w.services["archive"], uint32(9+i), time.Second) })
		}
		w.Run(22 * time.Second)
		checkNoViolations(t, w)
		if w.Checker.Complete < w.Checker.Searches*7/10 {
			t.Errorf("%d of %d searches were complete, want 70 %%", w.Checker.Complete, w.Checker.Searches)
		}
	})
}

// TestCoverageIsTrue checks that answers report a shard as missing for as long as all back ends that hold it are lost.
func TestCoverageIsTrue(t *testing.T) {
	runForSeeds(t, 4, func(t *testing.T, seed uint64) {
		w := newConfiguredWorld(t, seed, 60, 10*time.Second)
		backEnds := w.services["archive"].backEnds
		w.killBackEnd(backEnds[2])
		w.killBackEnd(backEnds[3])
		lost := uint32(3)
		missing := 0
		w.OnSearchAnswered = func(outcome SearchOutcome) {
			if outcome.Coverage.Total != 8 || outcome.Failure != nil {
				return
			}
			if outcome.Coverage.Complete() {
				t.Errorf("a search was reported as complete without shard %d", lost)
			}
			if slices.ContainsFunc(outcome.Coverage.Missing, func(m query.Missing) bool { return m.Shard == lost }) {
				missing++
			}
		}
		w.Run(time.Second)
		// A node that starts after the loss must report the shard as missing, too.
		n := w.nodes[w.live[0]]
		w.killNode(n)
		w.startNode(n.zone)
		w.Run(10 * time.Second)
		checkNoViolations(t, w)
		if missing == 0 {
			t.Error("no answer reported the lost shard as missing")
		}
	})
}

// TestStragglersAndHedges checks that no document is returned twice and coverage is kept when a slow attempt and its hedge both
// answer.
func TestStragglersAndHedges(t *testing.T) {
	runForSeeds(t, 4, func(t *testing.T, seed uint64) {
		w := newConfiguredWorld(t, seed, 60, 15*time.Second)
		for _, service := range w.services {
			for _, b := range service.backEnds {
				b.model.Latency.StragglerChance = 0.05
				b.model.Latency.StragglerFactor = 12
			}
		}
		w.Run(16 * time.Second)
		checkNoViolations(t, w)
		hedges, won := w.hedgeCounts()
		t.Logf("hedges %d, won %d", hedges, won)
		if won == 0 || w.Checker.Complete < w.Checker.Searches*98/100 {
			t.Errorf("%d hedges won, want at least 1; %d of %d searches were complete, want 98 %%", won, w.Checker.Complete, w.Checker.Searches)
		}
	})
}

func (w *World) hedgeCounts() (sent, won uint64) {
	for _, address := range w.live {
		counters := w.nodes[address].engine.DispatchCounters()
		sent += counters.Hedges
		won += counters.HedgesWon
	}
	return sent, won
}

// TestBrokenAnswersAreDropped checks that answers with another snapshot, a missing shard or a wrong shard number are discarded.
func TestBrokenAnswersAreDropped(t *testing.T) {
	runForSeeds(t, 4, func(t *testing.T, seed uint64) {
		w := newConfiguredWorld(t, seed, 60, 10*time.Second)
		for _, service := range w.services {
			for i, b := range service.backEnds {
				if i%2 == 0 {
					b.model.CorruptionChance = 0.5
				}
			}
		}
		w.Run(11 * time.Second)
		checkNoViolations(t, w)
		var invalid uint64
		for _, address := range w.live {
			counters := w.nodes[address].engine.DispatchCounters()
			invalid += counters.InvalidAnswers + counters.WrongSnapshot
		}
		if invalid == 0 {
			t.Error("no corrupt answer was detected, although half of the back ends send them")
		}
	})
}

// TestNotRunIsTrue checks under overload, frozen nodes and lost messages that a request that was refused as not run never runs.
func TestNotRunIsTrue(t *testing.T) {
	runForSeeds(t, 6, func(t *testing.T, seed uint64) {
		w := newConfiguredWorld(t, seed, 1500, 6*time.Second)
		w.FaultProbabilities = FaultProbabilities{MessageLost: 0.01, MessageDuplicated: 0.05, MessageDelayed: 0.05, MaximumDelay: 300 * time.Millisecond}
		for i := range 6 {
			w.schedule(time.Duration(i)*time.Second, func() { w.freezeNode(w.liveNode(), 700*time.Millisecond) })
		}
		w.Run(8 * time.Second)
		checkNoViolations(t, w)
		if w.Checker.Refusals == 0 {
			t.Error("no search was refused, although the nodes are overloaded")
		}
	})
}

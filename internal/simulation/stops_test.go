package simulation

import (
	"slices"
	"testing"
	"time"
)

// TestAtMostOnce checks that a request that is not repeatable runs at most once although callers resend it and nodes and a back
// end are lost or frozen meanwhile.
func TestAtMostOnce(t *testing.T) {
	runForSeeds(t, 8, func(t *testing.T, seed uint64) {
		w := newConfiguredWorld(t, seed, 20, 20*time.Second)
		w.FaultProbabilities = FaultProbabilities{MessageLost: 0.02, MessageDuplicated: 0.1, MessageDelayed: 0.1, MaximumDelay: 500 * time.Millisecond}
		for i := range 300 {
			w.schedule(time.Duration(i)*50*time.Millisecond, func() { w.startExecution("lookup", i) })
		}
		for i := range 8 {
			w.schedule(time.Duration(2*i)*time.Second, func() { w.injectFault(Fault{Kind: ReplaceNode, Selector: i * 3, Length: 2 * time.Second}) })
			w.schedule(time.Duration(2*i+1)*time.Second, func() { w.freezeNode(w.liveNode(), 900*time.Millisecond) })
		}
		w.schedule(6*time.Second, func() { w.killBackEnd(w.services["lookup"].backEnds[1]) })
		w.schedule(9*time.Second, func() { w.reviveBackEnd(w.services["lookup"].backEnds[1]) })
		w.Run(22 * time.Second)
		checkNoViolations(t, w)
		t.Logf("executions answered %d, unknown %d", w.Checker.Executions, w.Checker.Unknown)
		if w.Checker.Executions < 300 {
			t.Errorf("%d executions were answered, want at least 300", w.Checker.Executions)
		}
	})
}

// TestDrainingBackEnd checks that a draining back end gets no new work, whether its description says so or still reports that it
// is serving while the machine list lags.
func TestDrainingBackEnd(t *testing.T) {
	for _, lies := range []bool{false, true} {
		runForSeeds(t, 3, func(t *testing.T, seed uint64) {
			w := newConfiguredWorld(t, seed, 80, 15*time.Second)
			b := w.services["archive"].backEnds[4]
			w.drain(b, lies)
			w.Run(16 * time.Second)
			checkNoViolations(t, w)
			t.Logf("requests received while draining: %d", b.model.RequestsWhileDraining)
			if w.Checker.UninformedSends > 0 || w.Checker.Complete != w.Checker.Searches {
				t.Errorf("%d sends without a drain signal, want none; %d of %d searches were complete, want all", w.Checker.UninformedSends, w.Checker.Complete, w.Checker.Searches)
			}
		})
	}
}

// TestPlannedStops replaces all original nodes, two at a time, by planned stops. No request in flight may fail and no search may
// lose coverage.
func TestPlannedStops(t *testing.T) {
	runForSeeds(t, 8, func(t *testing.T, seed uint64) {
		w := newConfiguredWorld(t, seed, 150, 30*time.Second)
		w.Checker.PlannedStopsOnly = true
		leaving := slices.Clone(w.live)
		for i, address := range leaving {
			w.schedule(time.Duration(i/2)*6*time.Second+2*time.Second, func() { w.stopNode(w.nodes[address]) })
			w.schedule(time.Duration(i/2)*6*time.Second, func() { w.startNode(w.nodes[address].zone) })
		}
		for i := range 100 {
			w.schedule(time.Duration(i)*200*time.Millisecond, func() { w.startExecution("lookup", i) })
		}
		w.Run(32 * time.Second)
		checkNoViolations(t, w)
		for _, address := range leaving {
			if !w.nodes[address].dead {
				t.Errorf("node %s has not stopped", address)
			}
		}
	})
}

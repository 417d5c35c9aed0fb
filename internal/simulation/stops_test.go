package simulation

import (
	"slices"
	"testing"
	"time"
)

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
			t.Logf("work that came while leaving: %d", b.model.RequestsWhileDraining)
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

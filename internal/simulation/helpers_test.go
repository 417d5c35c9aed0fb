package simulation

import (
	"fmt"
	"testing"
	"time"
)

// newConfiguredWorld returns a small world with all services configured, in which searches are sent at the given rate (a second)
// for the given duration.
func newConfiguredWorld(t *testing.T, seed uint64, searches float64, length time.Duration, change ...func(*Options)) *World {
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

func checkNoViolations(t *testing.T, w *World) {
	t.Helper()
	w.Checker.Unanswered(6 * time.Second)
	for i, violation := range w.Checker.Violations {
		if i == 3 {
			t.Errorf("and %d more violations", len(w.Checker.Violations)-i)
			break
		}
		t.Error(violation)
	}
	t.Logf("steps %d, searches %d, complete %d, partial %d, refused %d, failed %d, missing %v", w.Steps, w.Checker.Searches,
		w.Checker.Complete, w.Checker.Partial, w.Checker.Refusals, w.Checker.Failures, w.Checker.Reasons)
}

func runForSeeds(t *testing.T, count uint64, run func(t *testing.T, seed uint64)) {
	t.Helper()
	for seed := range count {
		t.Run(fmt.Sprint(seed+1), func(t *testing.T) {
			t.Parallel()
			run(t, seed+1)
		})
	}
}

func (w *World) nodeInZone(zone string) *simNode {
	for _, address := range w.live {
		if n := w.nodes[address]; n.zone.Name == zone {
			return n
		}
	}
	return nil
}

func (w *World) inForceEverywhere(service string, version uint64) bool {
	for _, address := range w.live {
		if w.nodes[address].engine.Catalog().Version(service) < version {
			return false
		}
	}
	return true
}

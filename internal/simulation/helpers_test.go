package simulation

import (
	"fmt"
	"testing"
	"time"
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

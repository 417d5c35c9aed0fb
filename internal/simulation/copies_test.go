package simulation

import (
	"slices"
	"testing"
	"time"

	"stiletrail/internal/platform"
	"stiletrail/internal/standin"
)

// TestTwoHistories: a region that has missed a change, since it reached nobody, makes another one after the store has come back
// from a copy without the first. What was confirmed last is in force everywhere once the regions reach each other.
func TestTwoHistories(t *testing.T) {
	w := newConfiguredWorld(t, 1, 5, 90*time.Second)
	old := w.store.Backup()
	const cutOff = "zone-c"
	there := func(in bool) *simNode {
		at := slices.IndexFunc(w.live, func(address string) bool { return (w.nodes[address].zone.Name == cutOff) == in })
		return w.nodes[w.live[at]]
	}
	w.isolated[cutOff], w.regionsPartitioned = true, true
	w.Run(time.Second)
	wanted := w.IntentFor(w.services["lookup"])
	wanted.DeadlineMilliseconds++
	w.Change(there(false), wanted, "lost-with-the-copy")
	w.Run(5 * time.Second)
	w.store.RestoreReusingVersions(old)
	delete(w.isolated, cutOff)
	w.Run(5 * time.Second)
	wanted.DeadlineMilliseconds++
	w.Change(there(true), wanted, "after-the-copy")
	w.Run(5 * time.Second)
	w.regionsPartitioned = false
	w.Run(20 * time.Second)
	for _, address := range w.live {
		held, _ := w.nodes[address].engine.Catalog().Get("lookup")
		if held.Specification.DeadlineMilliseconds != wanted.DeadlineMilliseconds {
			t.Errorf("%s has version %d with %v in force", address, held.Version, held.Operations)
		}
	}
	checkNoViolations(t, w)
}

// TestStoreRestoredFromOldCopy: nodes keep what is in force, raise an alarm, and the next plan repairs the store, whether its
// versions go on rising or are given out again.
func TestStoreRestoredFromOldCopy(t *testing.T) {
	for name, restore := range map[string]func(*standin.Store, map[string]platform.Entry){
		"versions go on rising": (*standin.Store).Restore, "versions are given out again": (*standin.Store).RestoreReusingVersions,
	} {
		t.Run(name, func(t *testing.T) { restoredFromOldCopy(t, restore) })
	}
}

func restoredFromOldCopy(t *testing.T, restore func(*standin.Store, map[string]platform.Entry)) {
	w := newConfiguredWorld(t, 1, 5, 60*time.Second)
	old := w.store.Backup()
	wanted := w.IntentFor(w.services["lookup"])
	wanted.DeadlineMilliseconds++
	w.Change(w.liveNode(), wanted, "newer-than-copy")
	w.Run(5 * time.Second)
	restore(w.store, old)
	w.Run(15 * time.Second)
	if !w.inForceEverywhere("lookup", 2) {
		t.Error("a node went back to the old copy")
	}
	alarms := 0
	for _, address := range w.live {
		alarms += len(w.nodes[address].engine.Alarms())
	}
	if alarms == 0 {
		t.Error("no alarm was raised")
	}
	wanted.DeadlineMilliseconds++
	w.Change(w.liveNode(), wanted, "repair")
	w.Run(15 * time.Second)
	for _, address := range w.live {
		if left := w.nodes[address].engine.Alarms(); len(left) > 0 {
			t.Errorf("alarms after the repair: %v", left)
		}
	}
	if !w.inForceEverywhere("lookup", 3) {
		t.Error("the repair is not in force")
	}
	checkNoViolations(t, w)
}

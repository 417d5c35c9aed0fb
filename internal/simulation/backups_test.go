package simulation

import (
	"slices"
	"testing"
	"time"

	"stiletrail/internal/platform"
	"stiletrail/internal/standin"
)

// TestTwoHistories checks which of two changes with the same version number is in force. An isolated region misses a change, the
// store is restored from a backup without it, and the region makes another change. The one confirmed last must be in force on
// every node once the regions can communicate again.
func TestTwoHistories(t *testing.T) {
	w := newConfiguredWorld(t, 1, 5, 90*time.Second)
	old := w.store.Backup()
	const cutOff = "zone-c"
	nodeInside := func(in bool) *simNode {
		at := slices.IndexFunc(w.live, func(address string) bool { return (w.nodes[address].zone.Name == cutOff) == in })
		return w.nodes[w.live[at]]
	}
	w.isolated[cutOff], w.regionsPartitioned = true, true
	w.Run(time.Second)
	wanted := w.IntentFor(w.services["lookup"])
	wanted.DeadlineMilliseconds++
	w.Change(nodeInside(false), wanted, "lost-with-the-copy")
	w.Run(5 * time.Second)
	w.store.RestoreReusingVersions(old)
	delete(w.isolated, cutOff)
	w.Run(5 * time.Second)
	wanted.DeadlineMilliseconds++
	w.Change(nodeInside(true), wanted, "after-the-copy")
	w.Run(5 * time.Second)
	w.regionsPartitioned = false
	w.Run(20 * time.Second)
	for _, address := range w.live {
		held, _ := w.nodes[address].engine.Catalog().Get("lookup")
		if held.Specification.DeadlineMilliseconds != wanted.DeadlineMilliseconds {
			t.Errorf("node %s has version %d with operations %v in force, want the change confirmed last", address, held.Version, held.Operations)
		}
	}
	checkNoViolations(t, w)
}

// TestStoreRestoredFromOldBackup checks a restore of the store from an old backup: nodes keep the configuration in force and raise
// an alarm, and the next change repairs the store. Versions continue to rise in one case and are reused in the other.
func TestStoreRestoredFromOldBackup(t *testing.T) {
	for name, restore := range map[string]func(*standin.Store, map[string]platform.Entry){
		"versions continue to rise": (*standin.Store).Restore, "versions are reused": (*standin.Store).RestoreReusingVersions,
	} {
		t.Run(name, func(t *testing.T) { testRestoreFromOldBackup(t, restore) })
	}
}

func testRestoreFromOldBackup(t *testing.T, restore func(*standin.Store, map[string]platform.Entry)) {
	w := newConfiguredWorld(t, 1, 5, 60*time.Second)
	old := w.store.Backup()
	wanted := w.IntentFor(w.services["lookup"])
	wanted.DeadlineMilliseconds++
	w.Change(w.liveNode(), wanted, "newer-than-copy")
	w.Run(5 * time.Second)
	restore(w.store, old)
	w.Run(15 * time.Second)
	if !w.inForceEverywhere("lookup", 2) {
		t.Error("a node reverted to the version of the old backup")
	}
	alarms := 0
	for _, address := range w.live {
		alarms += len(w.nodes[address].engine.Alarms())
	}
	if alarms == 0 {
		t.Error("no node raised an alarm about the restored store")
	}
	wanted.DeadlineMilliseconds++
	w.Change(w.liveNode(), wanted, "repair")
	w.Run(15 * time.Second)
	for _, address := range w.live {
		if left := w.nodes[address].engine.Alarms(); len(left) > 0 {
			t.Errorf("a node still has alarms after the repair: %v", left)
		}
	}
	if !w.inForceEverywhere("lookup", 3) {
		t.Error("the repairing change is not in force on every node")
	}
	checkNoViolations(t, w)
}

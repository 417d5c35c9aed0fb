package gateway_test

import (
	"strings"
	"testing"
	"time"

	"stiletrail/internal/forward"
	"stiletrail/internal/gateway"
)

// countKeys of the store that begin with a prefix.
func (s *fakeStore) countKeys(prefix string) (count int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			count++
		}
	}
	return count
}

const (
	quarantines = "quarantine/"
	retrials    = "quarantine-retrial/"
	// rewrittenWithin is how long it takes at most until a quarantine is in the store again: the pauses before nodes write that have only heard of it.
	rewrittenWithin = 10 * time.Second
)

// TestQuarantineMissingFromRestoredStore: a store that is back from a copy and knows of no quarantine lets nobody go, also where all nodes know it from the store alone; they
// write it again, and one that starts then knows it.
func TestQuarantineMissingFromRestoredStore(t *testing.T) {
	withCrashFleet(t, 5, func(f *crashFleet) {
		const path = "/all/!"
		backup := f.store.backup()
		f.quarantineRequest(path)
		for number := range fleetNodes {
			f.contexts[number]()
		}
		for number := range fleetNodes {
			f.restart(number)
		}
		time.Sleep(10 * time.Second)
		f.store.restore(backup)
		f.store.rewriteLost()
		for restoredAt := time.Now(); time.Since(restoredAt) < rewrittenWithin; time.Sleep(200 * time.Millisecond) {
			f.checkRefusedByAll(t, path)
		}
		if f.store.countKeys(quarantines) == 0 {
			t.Error("the store does not know the quarantine again")
		}
		if len(f.reachTimes) > 0 {
			t.Errorf("%d back ends were reached", len(f.reachTimes))
		}
		f.restart(2)
		time.Sleep(3 * time.Second)
		f.checkRefusedByAll(t, path)
	})
}

// TestLiftedQuarantineInRestoredStore: a quarantine that an answer had ended, and that a copy of the store names again, holds up nobody, and is taken away again.
func TestLiftedQuarantineInRestoredStore(t *testing.T) {
	withCrashFleet(t, 5, func(f *crashFleet) {
		const path = "/all/!"
		f.quarantineRequest(path)
		backup := f.store.backup()
		f.mu.Lock()
		f.crashes = func(gateway.BackEndRequest) bool { return false }
		f.mu.Unlock()
		if result := f.requestAs(1, "somebody else", path, ""); result.Failure != nil {
			t.Errorf("somebody else is refused: %v", result.Reason)
		}
		time.Sleep(3 * time.Second)
		before := f.store.countKeys(quarantines)
		f.checkServedByAll(t, path)
		f.store.restore(backup)
		f.store.rewriteLost()
		for restoredAt := time.Now(); time.Since(restoredAt) < rewrittenWithin; time.Sleep(500 * time.Millisecond) {
			f.checkServedByAll(t, path)
		}
		if now := f.store.countKeys(quarantines); now > before {
			t.Errorf("the store goes on naming %d quarantines, %d before the copy", now, before)
		}
	})
}

// TestRetrialMissingFromRestoredStore: what one node was let do for all is written again, and nobody is let do anything while the store may lack that another was.
func TestRetrialMissingFromRestoredStore(t *testing.T) {
	withCrashFleet(t, 5, func(f *crashFleet) {
		const path = "/all/!"
		f.quarantineRequest(path)
		f.mu.Lock()
		f.version = "v2"
		f.mu.Unlock()
		for shard := range fleetShards {
			f.startBackEnd(fleetShard(shard), fleetZone(shard))
		}
		time.Sleep(3 * time.Second)
		backup := f.store.backup()
		f.store.restore(backup)
		time.Sleep(1500 * time.Millisecond)
		f.checkRefusedByAll(t, path)
		if len(f.reachTimes) > 0 || f.store.countKeys(retrials) > 0 {
			t.Errorf("%d back ends of the new version were reached while the store may lack that others were", len(f.reachTimes))
		}
		time.Sleep(3 * time.Second)
		f.request(0, path)
		time.Sleep(time.Second)
		if len(f.reachTimes) != 1 || f.store.countKeys(retrials) != 1 {
			t.Errorf("%d back ends of the new version were reached", len(f.reachTimes))
		}
		f.store.restore(backup)
		time.Sleep(2 * time.Second)
		if f.store.countKeys(retrials) != 1 {
			t.Error("the store does not know again that one was let try")
		}
	})
}

// quarantineRequest has a request put under quarantine, on all nodes and in the store, and forgets what it reached.
func (f *crashFleet) quarantineRequest(path string) {
	for number := 0; f.request(number%fleetNodes, path).Reason != forward.Quarantined; number++ {
		time.Sleep(crashingInterval)
	}
	time.Sleep(5 * time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reachTimes = nil
}

// checkServedByAll checks that no node refuses what others than the one who ended back ends with it ask.
func (f *crashFleet) checkServedByAll(t *testing.T, path string) {
	t.Helper()
	for number := range fleetNodes {
		if result := f.requestAs(number, "a third one", path, ""); result.Failure != nil {
			t.Errorf("node %d refuses: %v", number, result.Reason)
		}
	}
}

func (f *crashFleet) checkRefusedByAll(t *testing.T, path string) {
	t.Helper()
	for number := range fleetNodes {
		if result := f.request(number, path); result.Reason != forward.Quarantined {
			t.Errorf("node %d does not refuse: %v, %v", number, result.Reason, result.Failure)
		}
	}
}
